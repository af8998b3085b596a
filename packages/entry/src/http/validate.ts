import * as compiler from '@sinclair/typebox/compiler'
import * as errors from '@mustarddeck/errors'
import type * as typebox from '@sinclair/typebox'
import type * as types from '@mustarddeck/types'
import * as content from '../content.ts'
import * as invalid from './invalid.ts'
import * as schema from './schema.ts'

/** Maximum number of problems listed for one body. */
const MAX_PROBLEMS = 10

const submissionValidator = compiler.TypeCompiler.Compile(schema.JobSubmission)
const reservationValidator = compiler.TypeCompiler.Compile(schema.BlockReservation)
const drainValidator = compiler.TypeCompiler.Compile(schema.DrainRequest)

type Validated<Value> = errors.Result<Value, invalid.Invalid>

const findReason = (problem: invalid.Problem): invalid.InvalidReason => {
  if (problem.message === 'Unexpected property') return 'unknown-field'
  if (problem.path === '/id') return 'bad-id'
  if (problem.path === '/tasks' && problem.message.startsWith('Expected array length to be less')) {
    return 'too-many-tasks'
  }
  return 'wrong-type'
}

const listProblems = (validator: compiler.TypeCheck<typebox.TSchema>, body: unknown): invalid.Problem[] => {
  const problems: invalid.Problem[] = []
  for (const { path, message } of validator.Errors(body)) {
    problems.push({ path, message })
    if (problems.length === MAX_PROBLEMS) break
  }
  return problems
}

const validate = <Schema extends typebox.TSchema>(
  validator: compiler.TypeCheck<Schema>, body: unknown
): Validated<typebox.Static<Schema>> => {
  if (validator.Check(body)) return errors.ok(body)
  const problems = listProblems(validator, body)
  const [first] = problems
  errors.invariant(first, 'an invalid body has at least one problem')
  const location = first.path === '' ? 'the body' : invalid.quote(first.path)
  return errors.error(invalid.create(findReason(first), `${first.message} at ${location}`, problems))
}

const findDuplicate = (names: string[]): string | undefined => {
  const seen = new Set<string>()
  return names.find((name) => seen.size === seen.add(name).size)
}

/** Validates the body of `POST /v1/jobs` and returns the submission with its digest. */
export const submission = (body: unknown): Validated<types.Submission> => {
  const checked = validate(submissionValidator, body)
  if (checked.kind === 'error') return checked
  const { id, ...job } = checked.value
  const name = findDuplicate(job.tasks.map((task) => task.name))
  if (name !== undefined) {
    return errors.error(invalid.create('duplicate-task-name', `two tasks have the name ${invalid.quote(name)}`))
  }
  const normalized = { ...job, idempotent: job.idempotent ?? false }
  const digest = content.digest(normalized)
  if (digest.kind === 'error') return errors.error(invalid.create('bad-payload', digest.error))
  return errors.ok({ ...(id !== undefined && { id }), ...normalized, digest: digest.value } as types.Submission)
}

export const reservation = (body: unknown): Validated<schema.BlockReservation> => validate(reservationValidator, body)

export const drain = (body: unknown): Validated<schema.DrainRequest> => validate(drainValidator, body)

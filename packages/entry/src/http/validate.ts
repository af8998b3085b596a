import * as compiler from '@sinclair/typebox/compiler'
import * as errors from '@mustarddeck/errors'
import type * as typebox from '@sinclair/typebox'
import type * as types from '@mustarddeck/types'
import * as content from '../content.ts'
import * as invalid from './invalid.ts'
import * as schema from './schema.ts'

/** At most this many problems of one body are listed. */
const MAX_PROBLEMS = 10

const submissions = compiler.TypeCompiler.Compile(schema.JobSubmission)
const reservations = compiler.TypeCompiler.Compile(schema.BlockReservation)
const drains = compiler.TypeCompiler.Compile(schema.DrainRequest)

type Checked<Value> = errors.Result<Value, invalid.Invalid>

const reasonOf = (problem: invalid.Problem): invalid.InvalidReason => {
  if (problem.message === 'Unexpected property') return 'unknown-field'
  if (problem.path === '/id') return 'bad-id'
  if (problem.path === '/tasks' && problem.message.startsWith('Expected array length to be less')) {
    return 'too-many-tasks'
  }
  return 'wrong-type'
}

const list = (validator: compiler.TypeCheck<typebox.TSchema>, body: unknown): invalid.Problem[] => {
  const problems: invalid.Problem[] = []
  for (const { path, message } of validator.Errors(body)) {
    problems.push({ path, message })
    if (problems.length === MAX_PROBLEMS) break
  }
  return problems
}

const check = <Schema extends typebox.TSchema>(
  validator: compiler.TypeCheck<Schema>, body: unknown
): Checked<typebox.Static<Schema>> => {
  if (validator.Check(body)) return errors.ok(body)
  const problems = list(validator, body)
  const [first] = problems
  errors.invariant(first, 'a body that fails its check has a problem')
  const at = first.path === '' ? 'the body' : invalid.quote(first.path)
  return errors.error(invalid.create(reasonOf(first), `${first.message} at ${at}`, problems))
}

const duplicate = (names: string[]): string | undefined => {
  const seen = new Set<string>()
  return names.find((name) => seen.size === seen.add(name).size)
}

/** Turns the body of `POST /v1/jobs` into a submission with its digest. */
export const submission = (body: unknown): Checked<types.Submission> => {
  const checked = check(submissions, body)
  if (checked.kind === 'error') return checked
  const { id, ...job } = checked.value
  const name = duplicate(job.tasks.map((task) => task.name))
  if (name !== undefined) {
    return errors.error(invalid.create('duplicate-task-name', `two tasks have the name ${invalid.quote(name)}`))
  }
  const complete = { ...job, idempotent: job.idempotent ?? false }
  const digest = content.digest(complete)
  if (digest.kind === 'error') return errors.error(invalid.create('bad-payload', digest.error))
  return errors.ok({ ...(id !== undefined && { id }), ...complete, digest: digest.value } as types.Submission)
}

export const reservation = (body: unknown): Checked<schema.BlockReservation> => check(reservations, body)

export const drain = (body: unknown): Checked<schema.DrainRequest> => check(drains, body)

import * as util from 'node:util'
import * as errors from '@mustarddeck/errors'
import type * as objects from './objects.ts'

/**
 * Three-way merge by object: each object is taken from the side that changed it since `base`. The error lists the keys
 * of objects that both sides changed in different ways. The caller must validate the merged set.
 */
export const merge = (
  base: objects.Declarations, ours: objects.Declarations, theirs: objects.Declarations
): errors.Result<objects.Declarations, objects.ObjectKey[]> => {
  const merged = new Map<objects.ObjectKey, objects.Declaration>()
  const conflicts: objects.ObjectKey[] = []
  for (const key of [...new Set([...base.keys(), ...ours.keys(), ...theirs.keys()])].sort()) {
    const [original, our, their] = [base.get(key), ours.get(key), theirs.get(key)]
    const weChanged = !util.isDeepStrictEqual(original?.fields, our?.fields)
    const theyChanged = !util.isDeepStrictEqual(original?.fields, their?.fields)
    if (weChanged && theyChanged && !util.isDeepStrictEqual(our?.fields, their?.fields)) conflicts.push(key)
    const chosen = weChanged ? our : their
    if (chosen) merged.set(key, chosen)
  }
  return conflicts.length > 0 ? errors.error(conflicts) : errors.ok(merged)
}

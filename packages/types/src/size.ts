/** Approximate memory of a JSON value in bytes. */
export const sizeOf = (value: unknown): number => {
  if (value === undefined || value === null) return 8
  if (typeof value === 'string') return 16 + value.length
  if (typeof value !== 'object') return 16
  return 16 + (JSON.stringify(value)?.length ?? 0)
}

declare module 'logfmt' {
  export function stringify (data: Record<string, unknown>): string
  export function parse (line: string): Record<string, unknown>
}

declare module 'logfmt' {
  const logfmt: {
    stringify (data: Record<string, unknown>): string
    parse (line: string): Record<string, unknown>
  }
  export default logfmt
}

declare module 'postject' {
  /** Adds the resource to the executable at the place that the sentinel marks. */
  export function inject (
    file: string, resource: string, data: Buffer, options: { sentinelFuse: string }
  ): Promise<void>
}

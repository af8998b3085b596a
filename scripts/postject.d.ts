declare module 'postject' {
  /** Injects the resource into the executable and flips the fuse that `sentinelFuse` identifies. */
  export function inject (
    file: string, resource: string, data: Buffer, options: { sentinelFuse: string }
  ): Promise<void>
}

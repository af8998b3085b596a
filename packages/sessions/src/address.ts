/** Host and port at which a process accepts connections. */
export interface Address {
  host: string
  port: number
}

/** Longest name that DNS allows. */
const MAX_HOST_LENGTH = 253
const PATTERN = /^([\w.-]+):([1-9]\d{0,4})$/
const NAME = /^[\w-]+(\.[\w-]+)*$/
const IPV4 = /^(?:(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)(?:\.(?!$)|$)){4}$/
/** Addresses of no host; a connection to one would reach this machine. */
const UNSPECIFIED = /^0\./

const isHost = (host: string): boolean => {
  // A URL parser takes a name that ends in a number for an IPv4 address, and rejects it if it is none.
  if (/\d$/.test(host) && IPV4.test(host)) return !UNSPECIFIED.test(host)
  return NAME.test(host) && host.length <= MAX_HOST_LENGTH && !/^(?:\d+|0x[\da-f]*)$/i.test(host.split('.').at(-1)!)
}

/** Parses an address of the form HOST:PORT, with an IPv4 address or a name. Returns undefined for any other text. */
export const parseAddress = (text: string): Address | undefined => {
  const [, host, port] = PATTERN.exec(text) ?? []
  if (host === undefined || Number(port) >= 2 ** 16 || !isHost(host) || !URL.canParse(`ws://${text}`)) return undefined
  return { host, port: Number(port) }
}

import got from 'got'
import type * as entry from '@mustarddeck/entry'
import * as errors from '@mustarddeck/errors'

const TIMEOUT_MS = 5000

type OperatorResult = errors.Result<unknown, string>

const request = async (url: string, token: string, json?: object): Promise<OperatorResult> => {
  try {
    const response = await got(url, {
      method: json ? 'POST' : 'GET',
      json,
      headers: { authorization: `Bearer ${token}` },
      retry: { limit: 0 },
      throwHttpErrors: false,
      timeout: { request: TIMEOUT_MS }
    })
    const body = JSON.parse(response.body) as { message?: string }
    return response.ok ? errors.ok(body) : errors.error(`${response.statusCode}: ${body.message ?? response.body}`)
  } catch (failure) {
    return errors.error((failure as Error).message)
  }
}

const trimTrailingSlashes = (url: string): string => url.replace(/\/+$/, '')

/** Reads the status of an entry; the error is a message. */
export const status = async (url: string, token: string): Promise<errors.Result<entry.Status, string>> =>
  await request(`${trimTrailingSlashes(url)}/v1/operator/status`, token) as errors.Result<entry.Status, string>

/** Requests a drain of the target process; the error is a message. */
export const drain = (url: string, token: string, target: string, policy?: string): Promise<OperatorResult> =>
  request(`${trimTrailingSlashes(url)}/v1/operator/drain`, token, { target, policy })

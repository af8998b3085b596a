import * as fits from './fit.ts'
import type * as series from './series.ts'

const WIDTH = 520
const HEIGHT = 320
const MARGIN = { left: 80, right: 20, top: 40, bottom: 50 }
const TICKS = 4

const escape = (text: string): string => text.replace(/[&<>]/g, (character) => `&#${character.charCodeAt(0)};`)
const format = (value: number): string => Number(value.toPrecision(3)).toLocaleString('en-US')

/** Points and fitted line of one series as an SVG document. */
export const draw = ({ title, x, y, points, fit }: series.Fitted): string => {
  const maxX = Math.max(...points.map((point) => point.x))
  const maxY = Math.max(...points.map((point) => point.y), fits.at(fit, maxX), Number.MIN_VALUE)
  const left = (value: number): number => MARGIN.left + value / maxX * (WIDTH - MARGIN.left - MARGIN.right)
  const top = (value: number): number => HEIGHT - MARGIN.bottom - value / maxY * (HEIGHT - MARGIN.top - MARGIN.bottom)
  const text = (at: [number, number], content: string, anchor = 'middle', extra = ''): string =>
    `<text x="${at[0]}" y="${at[1]}" text-anchor="${anchor}"${extra}>${escape(content)}</text>`
  const ticks = Array.from({ length: TICKS + 1 }, (_, index) => index / TICKS).flatMap((part) => [
    text([left(part * maxX), HEIGHT - MARGIN.bottom + 18], format(part * maxX)),
    text([MARGIN.left - 8, top(part * maxY) + 4], format(part * maxY), 'end'),
    `<line x1="${MARGIN.left}" x2="${WIDTH - MARGIN.right}" y1="${top(part * maxY)}" y2="${top(part * maxY)}" stroke="#ddd"/>`
  ])
  const [from, to] = [Math.max(0, fits.at(fit, 0)), Math.max(0, fits.at(fit, maxX))]
  const parts = [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="11">`,
    '<rect width="100%" height="100%" fill="white"/>',
    text([WIDTH / 2, 20], title, 'middle', ' font-size="12"'),
    ...ticks,
    text([WIDTH / 2, HEIGHT - 12], x),
    text([16, HEIGHT / 2], y, 'middle', ` transform="rotate(-90 16 ${HEIGHT / 2})"`),
    `<line x1="${left(0)}" y1="${top(from)}" x2="${left(maxX)}" y2="${top(to)}" stroke="#888" stroke-dasharray="4"/>`,
    ...points.map((point) => `<circle cx="${left(point.x)}" cy="${top(point.y)}" r="4" fill="#06c"/>`),
    '</svg>'
  ]
  return `${parts.join('\n')}\n`
}

import * as statistics from 'simple-statistics'

export interface Point {
  x: number
  y: number
}

/** Least-squares line through measured points. */
export interface Fit {
  slope: number
  intercept: number
  /** Coefficient of determination, 1 for points on a line. */
  r2: number
  /** Slope of the logarithms: 1 for proportional growth, 2 for quadratic, 0 for a constant. */
  exponent: number
}

/** Needs at least two points with different `x`. */
export const line = (points: Point[]): Fit => {
  const pairs = points.map(({ x, y }) => [x, y])
  const { m, b } = statistics.linearRegression(pairs)
  // A constant has no variance to explain.
  const isConstant = points.every(({ y }) => y === points[0]!.y)
  const r2 = isConstant ? 1 : statistics.rSquared(pairs, statistics.linearRegressionLine({ m, b }))
  const logarithms = points.filter(({ x, y }) => x > 0 && y > 0).map(({ x, y }) => [Math.log(x), Math.log(y)])
  return { slope: m, intercept: b, r2, exponent: statistics.linearRegression(logarithms).m }
}

export const at = ({ slope, intercept }: Fit, x: number): number => intercept + slope * x

/** Value at `x` of the power law through the points, for figures that grow faster than a line. */
export const power = (points: Point[], x: number): number => {
  const logarithms = points.filter((point) => point.x > 0 && point.y > 0)
    .map((point) => [Math.log(point.x), Math.log(point.y)])
  const { m, b } = statistics.linearRegression(logarithms)
  return Math.exp(b + m * Math.log(x))
}

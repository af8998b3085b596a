import * as fits from './fit.ts'

/** One figure measured at several sizes. */
export interface Series {
  id: string
  title: string
  /** Package whose mechanism carries the figure. */
  mechanism: string
  /** What the size counts. */
  x: string
  /** Unit of the figure. */
  y: string
  points: fits.Point[]
}

export interface Fitted extends Series {
  fit: fits.Fit
}

export const fitted = (series: Series): Fitted => ({ ...series, fit: fits.line(series.points) })

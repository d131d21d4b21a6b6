import tap from 'tap'
import * as fc from 'fast-check'
import * as fits from './fit.js'
import * as series from './series.js'

tap.test('a line is found again, and noise lowers r²', async (t) => {
  const number = fc.integer({ min: -1_000, max: 1_000 })
  fc.assert(fc.property(number, number, (slope, intercept) => {
    const line = fits.fitLine([30, 370, 2_000].map((size) => ({ size, value: intercept + slope * size })))
    return Math.abs(line.slope - slope) < 1e-6 && Math.abs(line.intercept - intercept) < 1e-6 && Math.abs(line.r2 - 1) < 1e-9
  }), { seed: 31, numRuns: 100 })
  const noisy = fits.fitLine([{ size: 0, value: 0 }, { size: 1, value: 5 }, { size: 2, value: 1 }])
  t.equal(noisy.slope, 0.5)
  t.ok(noisy.r2 < 0.05)
  t.throws(() => fits.fitLine([{ size: 1, value: 1 }, { size: 1, value: 2 }]))
})

tap.test('the median and the extremes of the repetitions are told', async (t) => {
  const points = (slope: number): fits.Point[] => [1, 2].map((size) => ({ size, value: slope * size }))
  const fitted = series.fitSeries('x', { name: 'y', per: 'host', unit: 'us', runs: [points(3), points(1), points(8)] })
  t.match(fitted, { perEntry: 3, least: 1, most: 8, points: [{ size: 1, value: 3 }, { size: 2, value: 6 }] })
  t.equal(fits.median([4, 1, 3, 2]), 2.5)
})

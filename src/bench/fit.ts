/** Linear regression of measured points. */

export interface Point {
    x: number;
    y: number;
}

export interface Fit {
    slope: number;
    intercept: number;
    /** Standard error of the slope. */
    slopeError: number;
    /** Coefficient of determination: share of the variance that the line explains. */
    r2: number;
}

/** Fits a line by least squares; `slopeError` needs at least three points. */
export function fitLine(points: Point[]): Fit {
    const n = points.length;
    const meanX = sumValues(points.map(p => p.x)) / n;
    const meanY = sumValues(points.map(p => p.y)) / n;
    const sxx = sumValues(points.map(p => (p.x - meanX) ** 2));
    const syy = sumValues(points.map(p => (p.y - meanY) ** 2));
    const sxy = sumValues(points.map(p => (p.x - meanX) * (p.y - meanY)));
    const slope = sxy / sxx;
    const intercept = meanY - slope * meanX;
    const residual = sumValues(points.map(p => (p.y - intercept - slope * p.x) ** 2));
    const slopeError = Math.sqrt(residual / Math.max(1, n - 2) / sxx);
    return { slope, intercept, slopeError, r2: syy === 0 ? 1 : 1 - residual / syy };
}

/** Computes the value of the line at `x`. */
export function estimateAt(fit: Fit, x: number): number {
    return fit.intercept + fit.slope * x;
}

function sumValues(values: number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

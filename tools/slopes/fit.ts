/** Fits a line to measured points. */
import {type Fit, type Point, type Series} from './types.js';

const mean = (values: readonly number[]): number => {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / values.length;
};

/** Fits a least-squares line to all points; needs at least two different sizes. */
export const fitLine = (points: readonly Point[]): Fit => {
	const meanSize = mean(points.map(({size}) => size));
	const meanValue = mean(points.map(({value}) => value));
	const covariance = mean(points.map(({size, value}) => (size - meanSize) * (value - meanValue)));
	const variance = mean(points.map(({size}) => (size - meanSize) ** 2));
	const slope = covariance / variance;
	const fixed = meanValue - (slope * meanSize);
	const squares = mean(points.map(({size, value}) => (value - fixed - (slope * size)) ** 2));
	return {fixed, slope, residual: Math.sqrt(squares) / Math.abs(meanValue)};
};

/** Completes a series of measured points with its fitted line. */
export const toSeries = (series: Omit<Series, 'fit'>): Series => ({...series, fit: fitLine(series.points)});

const SIGNIFICANT_DIGITS = 4;

const format = (value: number): string => String(Number(value.toPrecision(SIGNIFICANT_DIGITS)));

/** Formats one series as lines of text. */
export const printSeries = ({
	name, title, variable, unit, points, fit,
}: Series): readonly string[] => [
	`${name}: ${title} [${unit}]`,
	...points.map(({size, value, extra}) => `  ${variable} ${size}: ${format(value)}${Object.entries(extra ?? {}).map(([key, figure]) => `, ${key} ${format(figure)}`).join('')}`),
	`  fixed ${format(fit.fixed)}, slope ${format(fit.slope)} per ${variable}, residual ${format(100 * fit.residual)}%`,
];

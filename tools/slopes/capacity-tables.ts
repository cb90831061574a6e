/** Formats the tables of `docs/CAPACITY.md` from the committed results. */
import {type RoleCost, rolesChanged, rolesToday} from './capacity.js';
import {planned} from './planned-size.js';
import {type SlopesResult} from './types.js';

const SIGNIFICANT_DIGITS = 3;

const format = (value: number): string => String(Number(value.toPrecision(SIGNIFICANT_DIGITS)));

const describeMargin = (value: number, limit: number): string => value <= limit ? `fits, ${format(limit / value)} times` : `does not fit, ${format(value / limit)} times over`;

const formatTable = (head: readonly string[], rows: ReadonlyArray<readonly string[]>): string => [
	`| ${head.join(' | ')} |`,
	`|${head.map(() => ' --- |').join('')}`,
	...rows.map(row => `| ${row.join(' | ')} |`),
].join('\n');

const roleRow = ({
	role, mechanism, cpuMsPerS, kbPerS, platformPerS,
}: RoleCost): readonly string[] => {
	const verdicts = [
		...(cpuMsPerS === undefined ? [] : [`processor ${describeMargin(cpuMsPerS, planned.controlCpuMsPerS)}`]),
		...(kbPerS === undefined ? [] : [`network ${describeMargin(kbPerS, planned.controlKbPerS)}`]),
		...(platformPerS ? [`platform ${describeMargin(platformPerS.value, platformPerS.limit)}`] : []),
	];
	return [
		role,
		mechanism,
		cpuMsPerS === undefined ? '-' : format(cpuMsPerS),
		kbPerS === undefined ? '-' : format(kbPerS),
		platformPerS ? `${format(platformPerS.value)} ${platformPerS.what}` : '-',
		verdicts.join('; '),
	];
};

const ROLE_HEAD = ['Role', 'Mechanism', 'Processor, ms a second', 'Network, KB a second', 'Platform, a second', 'Against the limit'] as const;

/** Formats the fitted lines of all series. */
export const slopesTable = ({series}: SlopesResult): string => formatTable(
	['Series', 'Unit', 'Sizes', 'Measured', 'Fixed', 'Slope', 'Residual'],
	series.map(({name, unit, variable, points, fit}) => [
		name,
		unit,
		`${points.map(({size}) => size).join(', ')} ${variable}`,
		points.map(({value}) => format(value)).join(', '),
		format(fit.fixed),
		format(fit.slope),
		`${format(100 * fit.residual)}%`,
	]),
);

/** Formats the load of each role in the current design. */
export const todayTable = (result: SlopesResult): string => formatTable(ROLE_HEAD, rolesToday(result).map(role => roleRow(role)));

/** Formats the load of each role with the changes that the page proposes. */
export const changedTable = (result: SlopesResult): string => formatTable(ROLE_HEAD, rolesChanged(result).map(role => roleRow(role)));

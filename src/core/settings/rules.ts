/**
 * Rules that relate several settings. They are separate from the schema, so that they are
 * checked even when other keys of the file are invalid.
 */
import {nodeAt} from './schema-node.js';
import {valueAt} from './value-at.js';

/** A violated rule, reported at one of its keys. */
export type RuleViolation = {
	readonly path: readonly string[];
	readonly allowed: string;
};

type Rule = (read: (...path: readonly string[]) => unknown) => readonly RuleViolation[];

/** Whether `value` is more than `than`; true for values that are not numbers, which the schema reports. */
const isMore = (value: unknown, than: unknown): boolean =>
	typeof value !== 'number' || typeof than !== 'number' || value > than;

const moreThan = (key: string, other: string): Rule => read => isMore(read('control', key), read('control', other))
	? []
	: [{path: ['control', key], allowed: `more than ${other}`}];

const filesWhenEnabled = (table: string, files: readonly string[]): Rule => read => read('tls', table, 'enabled') === true
	? files
		.filter(file => read('tls', table, file) === undefined)
		.map(file => ({path: ['tls', table, file], allowed: 'a path, while enabled = true'}))
	: [];

const rules: readonly Rule[] = [
	moreThan('heartbeat_timeout_ms', 'heartbeat_ms'),
	moreThan('lease_ms', 'heartbeat_timeout_ms'),
	filesWhenEnabled('control', ['ca', 'cert', 'key']),
	filesWhenEnabled('callers', ['cert', 'key']),
];

/** Returns every rule that the document violates. Absent keys have their defaults. */
export const ruleViolations = (document: unknown): readonly RuleViolation[] => {
	const read = (...path: readonly string[]): unknown => valueAt(document, path) ?? nodeAt(path)?.default;
	return rules.flatMap(rule => rule(read));
};

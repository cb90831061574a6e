/**
 * Rules that relate several settings. They are separate from the schema, so that the rules are
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

/** Whether `value` is greater than `than`. Returns true if either is not a number, since the schema reports that fault. */
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

/** Returns the violation of every rule that the document violates. For absent keys, the defaults are checked. */
export const ruleViolations = (document: unknown): readonly RuleViolation[] => {
	const read = (...path: readonly string[]): unknown => valueAt(document, path) ?? nodeAt(path)?.default;
	return rules.flatMap(rule => rule(read));
};

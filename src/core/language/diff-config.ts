/** Compares two versions of the fleet configuration. */
import {isPlainObject} from './edit-object.js';
import {snakeCase} from './snake-case.js';

/** One field that differs. `before` and `after` are its values as JSON; absent where the version lacks the field. */
export type Difference = {
	/** Dotted path of the field in the document, in snake case as in statements. */
	readonly path: string;
	readonly before?: string;
	readonly after?: string;
};

const flatten = (value: unknown, path: string): ReadonlyArray<readonly [string, string]> => {
	if (isPlainObject(value)) {
		return Object.entries(value).flatMap(([key, child]) => flatten(child, path === '' ? key : `${path}.${key}`));
	}

	return [[path, JSON.stringify(value)]];
};

/** Returns the fields that differ, ordered by path. The version number is left out. */
export const diffConfig = (before: unknown, after: unknown): readonly Difference[] => {
	const oldFields = new Map(flatten(before, ''));
	const newFields = new Map(flatten(after, ''));
	return [...new Set([...oldFields.keys(), ...newFields.keys()])]
		.filter(path => path !== 'version' && oldFields.get(path) !== newFields.get(path))
		.toSorted()
		.map(path => {
			const oldValue = oldFields.get(path);
			const newValue = newFields.get(path);
			return {path: snakeCase(path), ...(oldValue !== undefined && {before: oldValue}), ...(newValue !== undefined && {after: newValue})};
		});
};

/** Returns a difference as one line of text for operators. */
export const differenceText = ({path, before, after}: Difference): string => {
	if (before === undefined) {
		return `+ ${path} = ${after}`;
	}

	return after === undefined ? `- ${path} = ${before}` : `~ ${path} = ${before} -> ${after}`;
};

const MAX_CHANGES_IN_LINE = 10;

const changeText = ({path, before, after}: Difference): string => `${path}: ${before ?? 'absent'} -> ${after ?? 'absent'}`;

/** Returns the differences as one line. Those after the first ten are only counted. */
export const differencesLine = (differences: readonly Difference[]): string => {
	const shown = differences.slice(0, MAX_CHANGES_IN_LINE).map(difference => changeText(difference)).join('; ');
	const more = differences.length - MAX_CHANGES_IN_LINE;
	return more > 0 ? `${shown}; and ${more} more` : shown;
};

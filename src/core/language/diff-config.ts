/** The difference between two versions of the fleet configuration. */
import {isPlainObject} from './edit-object.js';
import {snakeCase} from './snake-case.js';

/** One field that differs. Values are JSON; absent on the side that lacks the field. */
export type Difference = {
	/** Dotted path in the document, in the spelling of the language. */
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

/** Fields that differ, ordered by path; the version number is left out. */
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

/** One line of a difference, for people. */
export const differenceText = ({path, before, after}: Difference): string => {
	if (before === undefined) {
		return `+ ${path} = ${after}`;
	}

	return after === undefined ? `- ${path} = ${before}` : `~ ${path} = ${before} -> ${after}`;
};

const MAX_CHANGES_IN_LINE = 10;

const changeText = ({path, before, after}: Difference): string => `${path}: ${before ?? 'absent'} -> ${after ?? 'absent'}`;

/** The differences as one line, the first ten in full. */
export const differencesLine = (differences: readonly Difference[]): string => {
	const shown = differences.slice(0, MAX_CHANGES_IN_LINE).map(difference => changeText(difference)).join('; ');
	const more = differences.length - MAX_CHANGES_IN_LINE;
	return more > 0 ? `${shown}; and ${more} more` : shown;
};

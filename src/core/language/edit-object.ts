/** Edits plain data by path. The original is not changed. */
import {valueAt} from '../settings/value-at.js';

export type PlainObject = Readonly<Record<string, unknown>>;

export const isPlainObject = (value: unknown): value is PlainObject => typeof value === 'object' && value !== null && !Array.isArray(value);

/** Returns a copy with the value at a path set; `undefined` removes the key. */
export const setAt = (object: unknown, path: readonly string[], value: unknown): unknown => {
	const [key, ...rest] = path;
	if (key === undefined) {
		return value;
	}

	const fields = isPlainObject(object) ? Object.entries(object) : [];
	const child = setAt(valueAt(object, [key]), rest, value);
	const others = fields.filter(([name]) => name !== key);
	return Object.fromEntries(child === undefined ? others : [...others, [key, child]]);
};

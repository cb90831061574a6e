const isTable = (value: unknown): value is Readonly<Record<PropertyKey, unknown>> => typeof value === 'object' && value !== null;

/** Returns the value at a path of plain data; undefined when there is none. */
export const valueAt = (document: unknown, path: readonly PropertyKey[]): unknown => {
	let value = document;
	for (const key of path) {
		value = isTable(value) && Object.hasOwn(value, key) ? value[key] : undefined;
	}

	return value;
};

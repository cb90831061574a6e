/** Converts the snake-case keys of a settings file to the camel case of the code. */

type CamelCase<Key> = Key extends `${infer Head}_${infer Tail}` ? `${Head}${Capitalize<CamelCase<Tail>>}` : Key;

/** `T`, read-only and with its own and all nested keys in camel case. */
export type CamelKeys<T> = T extends ReadonlyArray<infer Item>
	? ReadonlyArray<CamelKeys<Item>>
	: T extends Readonly<Record<string, unknown>> ? {readonly [Key in keyof T as CamelCase<Key>]: CamelKeys<T[Key]>} : T;

const camelCase = (key: string): string => key.replaceAll(/_([a-z])/gv, (_, letter: string) => letter.toUpperCase());

const convert = (value: unknown): unknown => {
	if (Array.isArray(value)) {
		return value.map(item => convert(item));
	}

	if (typeof value === 'object' && value !== null) {
		return Object.fromEntries(Object.entries(value).map(([key, child]) => [camelCase(key), convert(child)]));
	}

	return value;
};

/**
 * Copies plain data with keys in camel case.
 *
 * @example
 * camelKeys({timeout_ms: 5}); // {timeoutMs: 5}
 */
export function camelKeys<T>(value: T): CamelKeys<T>;
export function camelKeys(value: unknown): unknown {
	return convert(value);
}

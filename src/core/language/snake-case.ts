/**
 * Converts a field name or path of the configuration document to snake case, as in
 * statements. Names of objects have no capitals and are not changed.
 *
 * @example
 * snakeCase('maxQueued'); // 'max_queued'
 */
export const snakeCase = (key: string): string => key.replaceAll(/[A-Z]/gv, letter => `_${letter.toLowerCase()}`);

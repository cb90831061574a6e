/** Returns a thrown value as an `Error`. */
export const asError = (thrown: unknown): Error => thrown instanceof Error ? thrown : new Error(String(thrown));

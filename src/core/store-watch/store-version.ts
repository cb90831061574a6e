/**
 * Versions of the platform's store, qualified by the store's era. A store that comes back from an
 * older copy begins a new era and gives the versions of the lost changes out again, so a version
 * alone does not identify a change. One number holds both, the era in its upper digits: all that
 * compares, keeps or sends versions orders those of a later era after those of an earlier one.
 */

/** Versions of one era. At 1,200 writes a second they last 29 years. */
const VERSIONS_PER_ERA = 2 ** 40;
/** Eras that can be told apart; both factors together stay within the integers that a number holds exactly. */
const ERAS = 2 ** 13;

/** @param era - The store's count of its eras; 0 for a store that does not report one. */
export const storeVersion = (era: number, version: number): number => ((era % ERAS) * VERSIONS_PER_ERA) + version;

/** Returns the era of a qualified version, as a number that only equals that of versions of the same era. */
export const eraOf = (qualified: number): number => Math.floor(qualified / VERSIONS_PER_ERA);

/** Returns the version as the store counts it within its era. */
export const versionInEra = (qualified: number): number => qualified % VERSIONS_PER_ERA;

/** Returns the least version of the era, which precedes all changes made in it. */
export const eraStart = (qualified: number): number => qualified - versionInEra(qualified);

/** Returns a qualified version for a log line: the version, preceded by its era if the store reports one. */
export const formatVersion = (qualified: number): number | string =>
	eraOf(qualified) === 0 ? qualified : `${eraOf(qualified)}:${versionInEra(qualified)}`;

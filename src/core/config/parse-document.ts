/** Parses configuration documents. */
import {fleetConfigSchema, type FleetConfig} from './fleet-config.js';

export type ParsedDocument =
	| {readonly kind: 'valid'; readonly version: number; readonly config: FleetConfig}
	/** A document that has a version but does not fit the schema of this release. */
	| {readonly kind: 'invalid'; readonly version: number; readonly fault: string}
	/** A text that is not a JSON object with a version. */
	| {readonly kind: 'unreadable'; readonly fault: string};

const versionOf = (value: unknown): number | undefined => {
	if (typeof value !== 'object' || value === null || !('version' in value)) {
		return undefined;
	}

	return Number.isSafeInteger(value.version) ? Number(value.version) : undefined;
};

const readJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};

/** Describes a schema violation with its path in the document. */
const faultOf = (issue: {readonly path: readonly PropertyKey[]; readonly message: string} | undefined): string =>
	issue ? `${issue.path.map(String).join('.') || 'document'}: ${issue.message}` : 'unknown fault';

export const parseDocument = (text: string): ParsedDocument => {
	const value = readJson(text);
	const version = versionOf(value);
	if (version === undefined) {
		return {kind: 'unreadable', fault: 'not a JSON object with a version'};
	}

	const result = fleetConfigSchema.safeParse(value);
	return result.success
		? {kind: 'valid', version, config: result.data}
		: {kind: 'invalid', version, fault: faultOf(result.error.issues[0])};
};

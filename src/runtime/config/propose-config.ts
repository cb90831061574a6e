/**
 * Writes a new configuration version by compare-and-set on the version number. The row of the
 * version contains the operation id. So if the response to a write is lost, a read of the row
 * shows whether the write took effect.
 */
import * as z from 'zod';
import {ConfigConflict, ConfigOutcomeUnknown, ConfigStoreUnavailable} from '../../core/config/config-errors-data.js';
import {parseDocument} from '../../core/config/parse-document.js';
import {FleetConfigInvalid} from '../../core/errors/errors-data.js';
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {diffConfig, differencesLine} from '../../core/language/diff-config.js';
import {commit, operationIdOf} from '../platform/commit.js';
import {type Json, type PlatformClient, type PlatformRow} from '../platform/types.js';
import {CONFIG_TABLE, CURRENT_KEY, versionKey} from './config-table.js';
import {readConsistently} from './read-consistently.js';

export type Proposal = {
	/** The version that the change is based on; 0 for the first document. */
	readonly expectedVersion: number;
	/** The document; its `version` is set to `expectedVersion + 1`. */
	readonly document: Readonly<Record<string, unknown>>;
	/** Name of the operator who proposes the change. */
	readonly operator: string;
	/** Identifies the change; a proposal that is retried with the same id is written once. */
	readonly operationId: string;
};

export type Accepted = {readonly version: number; readonly document: string};

type ProposeOptions = {
	readonly platform: PlatformClient;
	/** Returns a random number, uniform in [0, 1). */
	readonly random: () => number;
};

const member = (value: Json | undefined, name: string): Json | undefined =>
	typeof value === 'object' && value !== null && !Array.isArray(value) ? value[name] : undefined;

const numberOf = (value: Json | undefined): number => typeof value === 'number' ? value : 0;
const textOf = (value: Json | undefined): string => typeof value === 'string' ? value : 'unknown';

const toDocument = ({expectedVersion, document}: Proposal): string => {
	const text = JSON.stringify({...document, version: expectedVersion + 1});
	const parsed = parseDocument(text);
	if (parsed.kind !== 'valid') {
		throw new JackdawwoodError(FleetConfigInvalid, {version: expectedVersion + 1, fault: parsed.fault});
	}

	return text;
};

const unavailable = (reason: string): JackdawwoodError => new JackdawwoodError(ConfigStoreUnavailable, {reason});

const readRow = async (platform: PlatformClient, key: string): Promise<PlatformRow | undefined> => {
	const result = await readConsistently(platform, key);
	if (result.kind === 'unavailable' || result.kind === 'rate_limited') {
		throw unavailable(result.kind === 'unavailable' ? result.reason : result.kind);
	}

	return result.kind === 'found' ? result.value : undefined;
};

/** Creates the error `ConfigConflict`, which names the operator whose version was written instead and what it changed. */
const conflict = async (platform: PlatformClient, {expectedVersion}: Proposal, winner: PlatformRow | undefined): Promise<JackdawwoodError> => {
	const base = await readRow(platform, versionKey(expectedVersion));
	const current = await readRow(platform, CURRENT_KEY);
	const changes = diffConfig(member(base?.value, 'document'), member(winner?.value, 'document'));
	return new JackdawwoodError(ConfigConflict, {
		expected: expectedVersion,
		current: numberOf(member(current?.value, 'version')),
		operator: textOf(member(winner?.value, 'operator')),
		operationId: operationIdOf(winner?.value) ?? '',
		change: differencesLine(changes),
	});
};

/** Returns the version after the expected one if an earlier attempt of this proposal wrote it. Otherwise throws `ConfigConflict`. */
const ownOrConflict = async (platform: PlatformClient, proposal: Proposal): Promise<Accepted> => {
	const version = proposal.expectedVersion + 1;
	const written = await readRow(platform, versionKey(version));
	if (operationIdOf(written?.value) === proposal.operationId) {
		return {version, document: JSON.stringify(member(written?.value, 'document'))};
	}

	throw await conflict(platform, proposal, written);
};

/**
 * Proposes a new version. Resolves once it is known to be written.
 * Rejects with FleetConfigInvalid, ConfigConflict, ConfigStoreUnavailable or ConfigOutcomeUnknown.
 */
export const proposeConfig = async (proposal: Proposal, {platform, random}: ProposeOptions): Promise<Accepted> => {
	const {expectedVersion, operator, operationId} = proposal;
	const version = expectedVersion + 1;
	const document = toDocument(proposal);
	const current = await readRow(platform, CURRENT_KEY);
	if (numberOf(member(current?.value, 'version')) !== expectedVersion) {
		return ownOrConflict(platform, proposal);
	}

	const value = z.json().parse(JSON.parse(document));
	const result = await commit({
		platform,
		random,
		table: CONFIG_TABLE,
		transaction: {
			operationId,
			operations: [
				{
					key: versionKey(version), expectRevision: 'absent', value: {
						version, operator, operation_id: operationId, document: value,
					},
				},
				{key: CURRENT_KEY, expectRevision: current?.revision ?? 'absent', value},
			],
		},
	});

	switch (result.kind) {
		case 'ok': {
			return {version, document};
		}

		case 'conflict': {
			return ownOrConflict(platform, proposal);
		}

		case 'unknown': {
			throw new JackdawwoodError(ConfigOutcomeUnknown, {expected: expectedVersion, operationId});
		}

		case 'unavailable': {
			throw unavailable(result.reason);
		}

		case 'rate_limited': {
			throw unavailable(result.kind);
		}
	}
};

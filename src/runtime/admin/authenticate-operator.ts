/** Finds the operator of a bearer token. */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {type FleetConfig} from '../../core/config/fleet-config.js';
import {OperatorUnknown} from './admin-errors-data.js';

/** Name under which calls without operators are recorded. */
export const BOOTSTRAP_OPERATOR = 'bootstrap';

const BEARER = /^bearer +(?<token>\S+)$/iv;
const LOOPBACK = /^(?:::ffff:)?127\.|^::1$/v;

/** Who calls, and whether a call without token is allowed for now. */
export type Caller = {
	readonly authorization: string | undefined;
	readonly remoteAddress: string | undefined;
	readonly bootstrapFromLoopback: boolean;
};

const hashOf = (token: string): Uint8Array => createHash('sha256').update(token).digest();

const hasOperators = (cfg: FleetConfig | undefined): boolean =>
	Object.values(cfg?.operators ?? {}).some(({tokenHashes}) => tokenHashes.length > 0);

/** Compares with every operator's hashes, so that the time taken tells nothing. */
const findOperator = (cfg: FleetConfig | undefined, token: string): string | undefined => {
	const given = hashOf(token);
	const found = Object.entries(cfg?.operators ?? {})
		.flatMap(([operator, {tokenHashes}]) => tokenHashes.map(hash => ({operator, hash: Buffer.from(hash, 'hex')})))
		.find(({hash}) => timingSafeEqual(hash, given));
	return found?.operator;
};

/** Returns the operator's name, or throws `OperatorUnknown`. */
export const authenticateOperator = (cfg: FleetConfig | undefined, caller: Caller): string => {
	if (!hasOperators(cfg) && caller.bootstrapFromLoopback && LOOPBACK.test(caller.remoteAddress ?? '')) {
		return BOOTSTRAP_OPERATOR;
	}

	const token = BEARER.exec(caller.authorization ?? '')?.groups?.token;
	const operator = token === undefined ? undefined : findOperator(cfg, token);
	if (operator === undefined) {
		throw new JackdawwoodError(OperatorUnknown);
	}

	return operator;
};

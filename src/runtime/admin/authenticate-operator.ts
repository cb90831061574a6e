/** Authenticates operators by their bearer tokens. */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {type FleetConfig} from '../../core/config/fleet-config.js';
import {OperatorUnknown} from './admin-errors-data.js';

/** Operator name recorded for calls that are made while no operator has a token. */
export const BOOTSTRAP_OPERATOR = 'bootstrap';

const BEARER = /^bearer +(?<token>\S+)$/iv;
const LOOPBACK = /^(?:::ffff:)?127\.|^::1$/v;

/** Credentials and origin of a call, and whether a call from loopback needs no token while no operator has a token. */
export type Caller = {
	readonly authorization: string | undefined;
	readonly remoteAddress: string | undefined;
	readonly bootstrapFromLoopback: boolean;
};

const hashOf = (token: string): Uint8Array => createHash('sha256').update(token).digest();

const hasOperators = (cfg: FleetConfig | undefined): boolean =>
	Object.values(cfg?.operators ?? {}).some(({tokenHashes}) => tokenHashes.length > 0);

/** Compares each operator's hashes in constant time, so that the duration does not reveal how close a wrong token is. */
const findOperator = (cfg: FleetConfig | undefined, token: string): string | undefined => {
	const given = hashOf(token);
	const found = Object.entries(cfg?.operators ?? {})
		.flatMap(([operator, {tokenHashes}]) => tokenHashes.map(hash => ({operator, hash: Buffer.from(hash, 'hex')})))
		.find(({hash}) => timingSafeEqual(hash, given));
	return found?.operator;
};

/** Returns the name of the operator who calls, or throws `OperatorUnknown`. */
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

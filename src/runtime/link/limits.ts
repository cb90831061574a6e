import {type LinkLimits} from './types.js';

/** Version of the control protocol that this release states in each `Hello`. */
export const PROTOCOL_VERSION = 1;

/** Milliseconds between checks of the certificates of open links. */
export const RECHECK_CERTIFICATES_MS = 60_000;

/** Limits that apply where the options set none. */
export const DEFAULT_LIMITS: LinkLimits = {
	tickMs: 20,
	keepAliveMs: 500,
	idleTimeoutMs: 2000,
	minBackoffMs: 50,
	maxBackoffMs: 2000,
	fallbackDialMs: 400,
	maxFrameBytes: 16 * 1024 * 1024,
	maxPendingClaims: 5000,
};

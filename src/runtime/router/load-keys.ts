/** Loads the TLS keys that a VM's settings name. */
import {type JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {type Settings} from '../../core/settings/schema.js';
import {loadTls, type TlsSource} from '../link/tls-keys.js';
import {type Log} from '../observe/log.js';

/** Milliseconds between checks of the key files for changes. */
const KEY_POLL_MS = 5000;

/** Keys for connections with other VMs and with callers; undefined where TLS is off. */
export type VmKeys = {
	readonly control: TlsSource | undefined;
	readonly callers: TlsSource | undefined;
	readonly close: () => void;
};

type KeyFiles = Settings['tls']['callers'] & Partial<Pick<Settings['tls']['control'], 'revoked'>>;

const loadIfEnabled = async ({enabled, ca, cert, key, revoked}: KeyFiles, onError: (err: JackdawwoodError) => void): Promise<TlsSource | undefined> =>
	enabled && cert !== undefined && key !== undefined
		? loadTls({
			cert, key, ca, revoked,
		}, {pollMs: KEY_POLL_MS, onError})
		: undefined;

/** Loads the keys and reloads them when their files change. Throws `TlsKeysInvalid` if TLS is on and the keys are invalid. */
export const loadVmKeys = async (tls: Settings['tls'], log: Log): Promise<VmKeys> => {
	const onError = (err: JackdawwoodError) => {
		log.error('TLS keys not reloaded', {fault: err.message});
	};

	const control = await loadIfEnabled(tls.control, onError);
	const callers = await loadIfEnabled(tls.callers, onError);
	return {
		control,
		callers,
		close() {
			control?.close();
			callers?.close();
		},
	};
};

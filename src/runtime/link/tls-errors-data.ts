/** Errors of TLS keys and certificates. */
import {type ErrorData} from '../../core/errors/types.js';

export const TlsKeysInvalid = {
	name: 'TlsKeysInvalid',
	title: 'The TLS keys cannot be used.',
	message: ({file, reason}) => `Cannot use the TLS keys of ${file}: ${reason}.`,
	hint: 'Check that certificate and key belong together; the keys loaded before stay in use.',
} as const satisfies ErrorData;

export const PeerCertificateRefused = {
	name: 'PeerCertificateRefused',
	title: 'The peer\'s certificate is not accepted.',
	message: ({vm, fault}) => `The certificate of VM ${vm} is refused: ${fault}.`,
	hint: 'Issue the VM a certificate of the fleet\'s CA with its id as common name.',
} as const satisfies ErrorData;

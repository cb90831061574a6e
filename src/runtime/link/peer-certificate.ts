/** Checks a peer's certificate, at the handshake and while its link is open. */
import {X509Certificate} from 'node:crypto';
import {TLSSocket} from 'node:tls';
import {type TlsKeys, normalizeSerial} from './tls-keys.js';

const PEM_CERTIFICATE = /-----BEGIN CERTIFICATE-----[\s\S]+?-----END CERTIFICATE-----/gv;

/** Returns the id of the VM that a certificate was issued to, which is its common name. */
export const certificateVm = (certificate: X509Certificate): string | undefined => {
	const name: unknown = certificate.toLegacyObject().subject.CN;
	return typeof name === 'string' && name !== '' ? name : undefined;
};

const isIssuedBy = (certificate: X509Certificate, ca: string): boolean =>
	(ca.match(PEM_CERTIFICATE) ?? []).some(pem => {
		const authority = new X509Certificate(pem);
		return certificate.checkIssued(authority) && certificate.verify(authority.publicKey);
	});

/**
 * Returns why a certificate is refused, or `undefined` if it is accepted. The TLS handshake also
 * checks issuer and dates. Unlike the handshake, this check is repeated for open links, at
 * intervals and after a reload of the keys.
 *
 * @param dateMs - Wall-clock time in milliseconds, for the certificate's validity dates.
 */
export const certificateFault = (certificate: X509Certificate, keys: TlsKeys, dateMs: number): string | undefined => {
	if (keys.revoked.has(normalizeSerial(certificate.serialNumber))) {
		return `certificate ${certificate.serialNumber} is revoked`;
	}

	if (dateMs < Date.parse(certificate.validFrom) || dateMs >= Date.parse(certificate.validTo)) {
		return `it is valid from ${certificate.validFrom} to ${certificate.validTo}`;
	}

	if (keys.ca !== undefined && !isIssuedBy(certificate, keys.ca)) {
		return 'it was not issued by the fleet\'s CA';
	}

	return certificateVm(certificate) === undefined ? 'it names no VM' : undefined;
};

/** Returns the certificate that the peer of a TLS connection presented, or `undefined` without TLS. */
export const peerCertificate = (socket: unknown): X509Certificate | undefined =>
	socket instanceof TLSSocket ? socket.getPeerX509Certificate() : undefined;

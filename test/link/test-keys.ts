/** Keys and certificates generated for one test run. */
import {webcrypto, randomBytes} from 'node:crypto';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import 'reflect-metadata'; // eslint-disable-line import-x/no-unassigned-import
import * as x509 from '@peculiar/x509';
import {type TlsFiles} from '../../src/runtime/link/tls-keys.js';

const ALGORITHM = {name: 'ECDSA', namedCurve: 'P-256', hash: 'SHA-256'};
const HOUR_MS = 3_600_000;

x509.cryptoProvider.set(webcrypto);

export type CertificateOptions = {
	/** Hours from now until the certificate expires; negative if it has expired. */
	readonly validForHours?: number;
	/** Serial number in hex. */
	readonly serial?: string;
};

/** All files that a VM needs. */
export type AllFiles = {readonly [Name in keyof TlsFiles]-?: string};

export type TestCa = {
	readonly certificate: string;
	/** Issues a certificate and writes all files that a VM needs. */
	readonly issue: (vm: string, options?: CertificateOptions) => Promise<AllFiles>;
	/** Issues a new certificate and writes it to the files of an earlier certificate. */
	readonly renew: (files: TlsFiles, vm: string, options?: CertificateOptions) => Promise<void>;
};

const generateKey = async (): Promise<webcrypto.CryptoKeyPair> => webcrypto.subtle.generateKey(ALGORITHM, true, ['sign', 'verify']);

const keyPem = async (key: webcrypto.CryptoKey): Promise<string> =>
	x509.PemConverter.encode(await webcrypto.subtle.exportKey('pkcs8', key), 'PRIVATE KEY');

/** Creates a certificate authority. */
export const createCa = async (name = 'fleet'): Promise<TestCa> => {
	const caKeys = await generateKey();
	const ca = await x509.X509CertificateGenerator.createSelfSigned({
		serialNumber: '01',
		name: `CN=${name}`,
		notBefore: new Date(Date.now() - (48 * HOUR_MS)),
		notAfter: new Date(Date.now() + (48 * HOUR_MS)),
		keys: caKeys,
		signingAlgorithm: ALGORITHM,
		extensions: [new x509.BasicConstraintsExtension(true, 1, true)],
	});

	const renew = async (files: TlsFiles, vm: string, {validForHours = 24, serial = randomBytes(8).toString('hex')}: CertificateOptions = {}): Promise<void> => {
		const keys = await generateKey();
		const certificate = await x509.X509CertificateGenerator.create({
			serialNumber: serial,
			subject: `CN=${vm}`,
			issuer: ca.subject,
			notBefore: new Date(Date.now() - (24 * HOUR_MS)),
			notAfter: new Date(Date.now() + (validForHours * HOUR_MS)),
			publicKey: keys.publicKey,
			signingKey: caKeys.privateKey,
			signingAlgorithm: ALGORITHM,
		});
		await writeFile(files.key, await keyPem(keys.privateKey), {mode: 0o600});
		await writeFile(files.cert, certificate.toString('pem'));
	};

	return {
		certificate: ca.toString('pem'),
		renew,
		async issue(vm, options) {
			const directory = await mkdtemp(join(tmpdir(), 'jackdawwood-keys-'));
			const files = {
				cert: join(directory, 'vm.pem'), key: join(directory, 'vm.key'), ca: join(directory, 'ca.pem'), revoked: join(directory, 'revoked'),
			};
			await writeFile(files.ca, ca.toString('pem'));
			await writeFile(files.revoked, '');
			await renew(files, vm, options);
			return files;
		},
	};
};

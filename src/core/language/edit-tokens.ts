/** Adds and removes hashes of bearer tokens in the configuration document. */
import {JackdawwoodError} from '../errors/jackdawwood-error.js';
import {valueAt} from '../settings/value-at.js';
import {isPlainObject, setAt} from './edit-object.js';
import {TokenExists, TokenMissing} from './errors-data.js';
import {tokenHolders} from './names.js';
import {collectionFields} from './object-kinds.js';
import {checkExists, objectPath} from './object-path.js';
import {type Command, type TokenHolder} from './types.js';

type TokenCommand = Extract<Command, {readonly kind: 'add_token' | 'remove_token'}>;

const hashesOf = (document: unknown, object: TokenHolder, name: string): readonly unknown[] => {
	const hashes = valueAt(document, [...objectPath(object, name), 'tokenHashes']);
	return Array.isArray(hashes) ? hashes : [];
};

/** Returns the kind and name of the team or operator that has a token. */
const findTokenHolder = (document: unknown, hash: string): string | undefined => {
	for (const object of tokenHolders) {
		const holders = valueAt(document, [collectionFields[object]]);
		const names = isPlainObject(holders) ? Object.keys(holders) : [];
		const name = names.find(candidate => hashesOf(document, object, candidate).includes(hash));
		if (name !== undefined) {
			return `${object} ${name}`;
		}
	}

	return undefined;
};

/** Adds a token's hash. Throws `ObjectMissing`, or `TokenExists` when any team or operator has the token. */
export const addToken = (document: unknown, {object, name, hash}: TokenCommand): unknown => {
	checkExists(document, object, name);
	const holder = findTokenHolder(document, hash);
	if (holder !== undefined) {
		throw new JackdawwoodError(TokenExists, {holder});
	}

	return setAt(document, [...objectPath(object, name), 'tokenHashes'], [...hashesOf(document, object, name), hash]);
};

/** Removes a token's hash. Throws `ObjectMissing` or `TokenMissing`. */
export const removeToken = (document: unknown, {object, name, hash}: TokenCommand): unknown => {
	const hashes = hashesOf(document, object, name);
	checkExists(document, object, name);
	if (!hashes.includes(hash)) {
		throw new JackdawwoodError(TokenMissing, {object, name});
	}

	return setAt(document, [...objectPath(object, name), 'tokenHashes'], hashes.filter(other => other !== hash));
};

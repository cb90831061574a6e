/** Applies operators' commands to a version of the fleet configuration, which gives the next version. */
import type * as z from 'zod';
import {JackdawwoodError} from '../errors/jackdawwood-error.js';
import {fleetConfigSchema, type FleetConfig} from '../config/fleet-config.js';
import {valueAt} from '../settings/value-at.js';
import {checkReferences, usersOf} from './check-references.js';
import {setAt} from './edit-object.js';
import {
	InvalidChange, ObjectExists, ObjectInUse, VersionMissing,
} from './errors-data.js';
import {addToken, removeToken} from './edit-tokens.js';
import {checkExists, objectPath} from './object-path.js';
import {properties, type PropertyPath} from './object-kinds.js';
import {snakeCase} from './snake-case.js';
import {
	type Command, type ObjectKind, type Property,
} from './types.js';

/** The next version of the configuration, or the reason why the command cannot be applied. */
export type AppliedCommand =
	| {readonly config: FleetConfig; readonly fault?: undefined}
	| {readonly config?: undefined; readonly fault: JackdawwoodError};

/** Returns an earlier version of the configuration, for `revert`; undefined where it is not stored. */
export type ReadVersion = (version: number) => FleetConfig | undefined;

/** Sets the properties of the object at `base`. A value of `none` removes the field, so that its default applies. */
const setProperties = (document: unknown, base: PropertyPath, kind: ObjectKind | 'sharing', changes: readonly Property[]): unknown => {
	let next = document;
	for (const {name, value} of changes) {
		const path = properties[kind].get(name);
		if (path) {
			next = setAt(next, [...base, ...path], value);
		}
	}

	return next;
};

const create = (document: unknown, {object, name, properties: changes}: Extract<Command, {kind: 'create'}>): unknown => {
	const path = objectPath(object, name);
	if (valueAt(document, path) !== undefined) {
		throw new JackdawwoodError(ObjectExists, {object, name});
	}

	return setProperties(setAt(document, path, {}), path, object, changes);
};

const change = (document: unknown, command: Extract<Command, {kind: 'change'}>): unknown => {
	const object = command.object === 'contract' ? 'target' : command.object;
	checkExists(document, object, command.name);
	return setProperties(document, objectPath(object, command.name), object, command.properties);
};

const remove = (document: unknown, {object, name}: Extract<Command, {kind: 'remove'}>): unknown => {
	checkExists(document, object, name);
	const users = usersOf(document, object, name);
	if (users.length > 0) {
		throw new JackdawwoodError(ObjectInUse, {object, name, users: users.join(', ')});
	}

	return setAt(document, objectPath(object, name), undefined);
};

const setObjectState = (document: unknown, object: 'data_centre' | 'target', name: string, state: string): unknown => {
	checkExists(document, object, name);
	return setAt(document, [...objectPath(object, name), 'state'], state);
};

const revert = (version: number, readVersion: ReadVersion): unknown => {
	const earlier = readVersion(version);
	if (!earlier) {
		throw new JackdawwoodError(VersionMissing, {version});
	}

	return earlier;
};

const editDocument = (document: FleetConfig, command: Command, readVersion: ReadVersion): unknown => {
	switch (command.kind) {
		case 'create': {
			return create(document, command);
		}

		case 'change': {
			return change(document, command);
		}

		case 'change_sharing': {
			return setProperties(document, ['sharing'], 'sharing', command.properties);
		}

		case 'remove': {
			return remove(document, command);
		}

		case 'take_out': {
			return setObjectState(document, 'data_centre', command.name, 'out');
		}

		case 'bring_back': {
			return setObjectState(document, 'data_centre', command.name, 'in');
		}

		case 'drain': {
			return setObjectState(document, 'target', command.name, 'draining');
		}

		case 'undrain': {
			return setObjectState(document, 'target', command.name, 'in');
		}

		case 'add_token': {
			return addToken(document, command);
		}

		case 'remove_token': {
			return removeToken(document, command);
		}

		case 'revert': {
			return revert(command.version, readVersion);
		}
	}
};

const formatIssue = (issue: z.core.$ZodIssue): string => {
	const inner = issue.code === 'invalid_key' ? issue.issues[0]?.message : undefined;
	return `${snakeCase(issue.path.map(String).join('.'))}: ${inner ?? issue.message}`;
};

const checkDocument = (document: unknown): FleetConfig => {
	const checked = fleetConfigSchema.safeParse(document);
	if (!checked.success) {
		const faults = checked.error.issues.map(issue => formatIssue(issue)).join('; ');
		throw new JackdawwoodError(InvalidChange, {faults});
	}

	return checked.data;
};

/** Throws when the created object is missing: the schema library drops unsafe names such as `__proto__` without an error. */
const checkCreated = (config: FleetConfig, command: Command): void => {
	if (command.kind === 'create' && valueAt(config, objectPath(command.object, command.name)) === undefined) {
		throw new JackdawwoodError(InvalidChange, {faults: `${command.name} cannot be a name`});
	}
};

/**
 * Applies a command. The version of the result is one above that of `document`, also
 * for a revert.
 */
export const applyCommand = (document: FleetConfig, command: Command, readVersion: ReadVersion = () => undefined): AppliedCommand => {
	try {
		const edited = setAt(editDocument(document, command, readVersion), ['version'], document.version + 1);
		const config = checkDocument(edited);
		checkCreated(config, command);
		checkReferences(config, document);
		return {config};
	} catch (error) {
		if (error instanceof JackdawwoodError) {
			return {fault: error};
		}

		throw error;
	}
};

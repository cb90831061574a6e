/** Rejects targets that refer to a service or data centre that does not exist. */
import {JackdawwoodError} from '../errors/jackdawwood-error.js';
import {type FleetConfig} from '../config/fleet-config.js';
import {valueAt} from '../settings/value-at.js';
import {isPlainObject} from './edit-object.js';
import {ObjectMissing} from './errors-data.js';
import {type ObjectKind} from './types.js';

/** Fields of a target that refer to another object, by the kind of that object. */
const referenceFields: Readonly<Partial<Record<ObjectKind, string>>> = {service: 'service', data_centre: 'dataCentre'};

/** Returns the targets that refer to an object. */
export const usersOf = (document: unknown, object: ObjectKind, name: string): readonly string[] => {
	const field = referenceFields[object];
	const targets = valueAt(document, ['targets']);
	if (field === undefined || !isPlainObject(targets)) {
		return [];
	}

	return Object.keys(targets)
		.filter(target => valueAt(targets, [target, field]) === name)
		.map(target => `target ${target}`);
};

/** Throws `ObjectMissing` when a new or changed reference of a target names an object that does not exist. */
export const checkReferences = (config: FleetConfig, previous: FleetConfig): void => {
	for (const [name, {service, dataCentre}] of Object.entries(config.targets)) {
		const previousTarget = previous.targets[name];
		if (service !== previousTarget?.service && !config.services[service]) {
			throw new JackdawwoodError(ObjectMissing, {object: 'service', name: service});
		}

		if (dataCentre !== previousTarget?.dataCentre && !config.dataCentres[dataCentre]) {
			throw new JackdawwoodError(ObjectMissing, {object: 'data_centre', name: dataCentre});
		}
	}
};

/**
 * Kinds of objects in the fleet configuration, and the properties that commands can set.
 * The properties are derived from the schema of the document.
 */
import * as z from 'zod';
import {schemaNodeOf, type SchemaNode} from '../settings/schema-node.js';
import {fleetConfigSchema} from '../config/fleet-config.js';
import {snakeCase} from './snake-case.js';
import {type ObjectKind} from './types.js';

/** Keys that lead from an object of the document to a property. */
export type PropertyPath = readonly string[];

/** Fields of the document that contain the objects of each kind. */
export const collectionFields = {
	team: 'teams',
	service: 'services',
	data_centre: 'dataCentres',
	target: 'targets',
	operator: 'operators',
} as const satisfies Readonly<Record<ObjectKind, string>>;

const propertiesOf = (node: SchemaNode | undefined, path: PropertyPath = []): ReadonlyArray<readonly [string, PropertyPath]> =>
	Object.entries(node?.properties ?? {}).flatMap(([key, child]) => {
		if (child.type === 'array') {
			return [];
		}

		return child.type === 'object'
			? propertiesOf(child, [...path, key])
			: [[snakeCase(key), [...path, key]] as const];
	});

const configSchema = schemaNodeOf(z.toJSONSchema(fleetConfigSchema, {io: 'input', reused: 'inline'}));
const objectSchema = (kind: ObjectKind): SchemaNode | undefined => configSchema.properties?.[collectionFields[kind]]?.additionalProperties;

const targetProperties = propertiesOf(objectSchema('target'));

/** Properties that commands can set, by their name in statements. A contract's properties are also properties of its target. */
export const properties: Readonly<Record<ObjectKind | 'contract' | 'sharing', ReadonlyMap<string, PropertyPath>>> = {
	team: new Map(propertiesOf(objectSchema('team'))),
	service: new Map(propertiesOf(objectSchema('service'))),
	data_centre: new Map(propertiesOf(objectSchema('data_centre'))),
	target: new Map(targetProperties),
	operator: new Map(propertiesOf(objectSchema('operator'))),
	contract: new Map(targetProperties.filter(([, path]) => path[0] === 'contract')),
	sharing: new Map(propertiesOf(configSchema.properties?.sharing)),
};

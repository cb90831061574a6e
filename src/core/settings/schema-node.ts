/** Converts the settings schema to data with the description of each key and its allowed values. */
import * as z from 'zod';
import {settingsFileSchema} from './schema.js';

/** The subset of JSON Schema that the settings use. */
export type SchemaNode = {
	readonly type?: string | undefined;
	readonly description?: string | undefined;
	readonly default?: unknown;
	readonly enum?: readonly string[] | undefined;
	readonly minimum?: number | undefined;
	readonly maximum?: number | undefined;
	readonly properties?: Readonly<Record<string, SchemaNode>> | undefined;
	readonly items?: SchemaNode | undefined;
	/** Schema of the values of a table with arbitrary keys. */
	readonly additionalProperties?: SchemaNode | undefined;
	readonly required?: readonly string[] | undefined;
	/** Description of the allowed values where the fields above cannot express them. */
	readonly allowed?: string | undefined;
	readonly example?: string | undefined;
};

const schemaNode: z.ZodType<SchemaNode> = z.looseObject({
	type: z.string().optional(),
	description: z.string().optional(),
	default: z.unknown().optional(),
	enum: z.array(z.string()).optional(),
	minimum: z.number().optional(),
	maximum: z.number().optional(),
	get properties() {
		return z.record(z.string(), schemaNode).optional();
	},
	get items() {
		return schemaNode.optional();
	},
	get additionalProperties() {
		return z.union([schemaNode, z.boolean().transform(() => undefined)]).optional();
	},
	required: z.array(z.string()).optional(),
	allowed: z.string().optional(),
	example: z.string().optional(),
});

/** Parses a JSON schema that the schema library has generated. */
export const schemaNodeOf = (schema: unknown): SchemaNode => schemaNode.parse(schema);

/** Schema of the whole settings file. */
export const settingsNode: SchemaNode = schemaNodeOf(z.toJSONSchema(settingsFileSchema, {io: 'input', reused: 'inline'}));

/** Finds the schema node at a path; undefined when there is no such setting. */
export const nodeAt = (path: readonly PropertyKey[]): SchemaNode | undefined => {
	let node: SchemaNode | undefined = settingsNode;
	for (const key of path) {
		node = typeof key === 'number' ? node?.items : node?.properties?.[String(key)];
	}

	return node;
};

/** Returns a text that describes the values that a schema node allows. */
export const allowedText = (node: SchemaNode): string => {
	if (node.allowed !== undefined) {
		return node.allowed;
	}

	if (node.enum) {
		return `one of ${node.enum.map(value => `"${value}"`).join(', ')}`;
	}

	if (node.type === 'integer') {
		return `an integer from ${node.minimum} to ${node.maximum}`;
	}

	if (node.type === 'object') {
		return `a table with the keys ${Object.keys(node.properties ?? {}).join(', ')}`;
	}

	return node.type === 'boolean' ? 'true or false' : `a ${node.type}`;
};

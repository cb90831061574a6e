/** Syntax tree of statements of the operators' language. */
import {
	type objectKinds, type operators, type tableNames, type tokenHolders,
} from './names.js';

/** Value of a literal; `none` gives undefined. */
export type Value = string | number | boolean | undefined;

export type Operator = typeof operators[number];

/** A condition on a row. A `flag` condition is met when the field is true. */
export type Condition =
	| {readonly kind: 'or' | 'and'; readonly conditions: readonly Condition[]}
	| {readonly kind: 'not'; readonly condition: Condition}
	| {readonly kind: 'compare'; readonly field: string; readonly operator: Operator; readonly value: Value}
	| {readonly kind: 'flag'; readonly field: string};

export type SortKey = {
	readonly field: string;
	readonly descending: boolean;
};

export type TableName = typeof tableNames[number];

/** `TABLE where CONDITION sort by FIELDS limit N show FIELDS`. */
export type Query = {
	readonly kind: 'query';
	readonly table: TableName;
	readonly where?: Condition;
	readonly sort: readonly SortKey[];
	readonly limit?: number;
	/** Fields to show; empty to show all. */
	readonly show: readonly string[];
};

/** Kinds of objects that operators create, change and remove. */
export type ObjectKind = typeof objectKinds[number];

/** Kinds of objects that have bearer tokens. */
export type TokenHolder = typeof tokenHolders[number];

export type Property = {
	readonly name: string;
	readonly value: Value;
};

/** A statement that changes the fleet configuration. */
export type Command =
	| {readonly kind: 'create'; readonly object: ObjectKind; readonly name: string; readonly properties: readonly Property[]}
	| {readonly kind: 'change'; readonly object: ObjectKind | 'contract'; readonly name: string; readonly properties: readonly Property[]}
	| {readonly kind: 'change_sharing'; readonly properties: readonly Property[]}
	| {readonly kind: 'remove'; readonly object: ObjectKind; readonly name: string}
	| {readonly kind: 'take_out' | 'bring_back' | 'drain' | 'undrain'; readonly name: string}
	| {readonly kind: 'add_token' | 'remove_token'; readonly hash: string; readonly object: TokenHolder; readonly name: string}
	| {readonly kind: 'revert'; readonly version: number};

export type Statement = Query | Command;

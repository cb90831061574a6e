/**
 * Grammar of queries, and of the rules that queries and commands share, for the
 * chevrotain parser library. Each rule returns its part of the syntax tree.
 */
/* eslint new-cap: "off" -- The parser library's methods have upper-case names. */
import {EmbeddedActionsParser, type IToken} from 'chevrotain';
import {memberOf, operators, tableNames} from './names.js';
import {
	allTokens, closeParenthesis, comma, comparison, integer, number, openParenthesis, reservedWords, tableWord, text, word, words,
} from './tokens.js';
import {
	type Condition, type Operator, type Property, type Query, type SortKey, type Value,
} from './types.js';

/** A field or property in a statement, with the value that it is compared with or set to. */
export type FieldUse = {
	readonly field: IToken;
	readonly operator?: Operator;
	readonly value?: Value;
	readonly valueToken?: IToken;
};

type LocatedValue = {
	readonly value: Value;
	readonly token: IToken;
};

const unquote = (token: IToken): string => String(JSON.parse(token.image));

/** Returns a finite number: values out of range become the largest ones. Negative zero becomes zero. */
const toNumber = (token: IToken): number =>
	Math.min(Math.max(Number(token.image), -Number.MAX_VALUE), Number.MAX_VALUE) + 0;

const combineConditions = (kind: 'and' | 'or', conditions: readonly Condition[]): Condition => {
	const [first] = conditions;
	return first && conditions.length === 1 ? first : {kind, conditions};
};

/** Parser with the rules of queries and those that commands share. */
export abstract class QueryParser extends EmbeddedActionsParser {
	protected readonly query = this.RULE('query', (): Query => {
		const table = this.CONSUME(tableWord);
		const where = this.OPTION(() => {
			this.CONSUME(words.where);
			return this.SUBRULE(this.condition);
		});
		const sort = this.OPTION1(() => this.SUBRULE(this.sortKeys)) ?? [];
		const limit = this.OPTION2(() => {
			this.CONSUME(words.limit);
			return this.CONSUME(integer);
		});
		const show = this.OPTION3(() => this.SUBRULE(this.shownFields)) ?? [];
		return {
			kind: 'query',
			table: memberOf(tableNames, table.image),
			...(where && {where}),
			sort,
			...(limit && {limit: toNumber(limit)}),
			show,
		};
	});

	protected readonly name = this.RULE('name', (): string => this.OR([
		{ALT: () => this.CONSUME(word).image},
		{
			ALT: () => {
				const token = this.CONSUME(text);
				return this.ACTION(() => unquote(token));
			},
		},
	]));

	protected readonly properties = this.RULE('properties', (): readonly Property[] => {
		const properties = [this.SUBRULE(this.property)];
		this.MANY(() => {
			this.OPTION(() => this.CONSUME(comma));
			properties.push(this.SUBRULE1(this.property));
		});
		return properties;
	});

	private uses: FieldUse[] = [];

	private readonly sortKeys = this.RULE('sortKeys', (): readonly SortKey[] => {
		const keys: SortKey[] = [];
		this.CONSUME(words.sort);
		this.CONSUME(words.by);
		this.AT_LEAST_ONE_SEP({
			SEP: comma,
			DEF: () => {
				keys.push(this.SUBRULE(this.sortKey));
			},
		});
		return keys;
	});

	private readonly sortKey = this.RULE('sortKey', (): SortKey => {
		const field = this.SUBRULE(this.field);
		const descending = this.OPTION(() => this.OR([
			{
				ALT: () => {
					this.CONSUME(words.asc);
					return false;
				},
			},
			{
				ALT: () => {
					this.CONSUME(words.desc);
					return true;
				},
			},
		]));
		return {field, descending: descending ?? false};
	});

	private readonly shownFields = this.RULE('shownFields', (): readonly string[] => {
		const fields: string[] = [];
		this.CONSUME(words.show);
		this.AT_LEAST_ONE_SEP({
			SEP: comma,
			DEF: () => {
				fields.push(this.SUBRULE(this.field));
			},
		});
		return fields;
	});

	private readonly field = this.RULE('field', (): string => {
		const field = this.CONSUME(word);
		this.ACTION(() => this.uses.push({field}));
		return field.image;
	});

	private readonly condition = this.RULE('condition', (): Condition => {
		const conditions = [this.SUBRULE(this.conjunction)];
		this.MANY(() => {
			this.CONSUME(reservedWords.or);
			conditions.push(this.SUBRULE1(this.conjunction));
		});
		return combineConditions('or', conditions);
	});

	private readonly conjunction = this.RULE('conjunction', (): Condition => {
		const conditions = [this.SUBRULE(this.term)];
		this.MANY(() => {
			this.CONSUME(reservedWords.and);
			conditions.push(this.SUBRULE1(this.term));
		});
		return combineConditions('and', conditions);
	});

	private readonly term = this.RULE('term', (): Condition => this.OR<Condition>([
		{
			ALT: () => {
				this.CONSUME(reservedWords.not);
				return {kind: 'not', condition: this.SUBRULE(this.term)};
			},
		},
		{
			ALT: () => {
				this.CONSUME(openParenthesis);
				const condition = this.SUBRULE(this.condition);
				this.CONSUME(closeParenthesis);
				return condition;
			},
		},
		{ALT: () => this.SUBRULE(this.comparison)},
	]));

	private readonly comparison = this.RULE('comparison', (): Condition => {
		const field = this.CONSUME(word);
		const comparedWith = this.OPTION(() => {
			const operator = this.SUBRULE(this.operator);
			return {operator, ...this.SUBRULE(this.value)};
		});
		this.ACTION(() => this.uses.push(comparedWith
			? {
				field, operator: comparedWith.operator, value: comparedWith.value, valueToken: comparedWith.token,
			}
			: {field}));
		return comparedWith
			? {
				kind: 'compare', field: field.image, operator: comparedWith.operator, value: comparedWith.value,
			}
			: {kind: 'flag', field: field.image};
	});

	private readonly operator = this.RULE('operator', (): Operator => {
		const token = this.OR([
			{ALT: () => this.CONSUME(comparison)},
			{ALT: () => this.CONSUME(reservedWords.contains)},
		]);
		return memberOf(operators, token.image);
	});

	private readonly value = this.RULE('value', (): LocatedValue => this.OR<LocatedValue>([
		{ALT: () => this.located(this.CONSUME(number), toNumber)},
		{ALT: () => this.located(this.CONSUME(text), unquote)},
		{ALT: () => this.located(this.CONSUME(reservedWords.true), () => true)},
		{ALT: () => this.located(this.CONSUME(reservedWords.false), () => false)},
		{ALT: () => this.located(this.CONSUME(reservedWords.none), () => undefined)},
		{ALT: () => this.located(this.CONSUME(word), ({image}) => image)},
	]));

	private readonly property = this.RULE('property', (): Property => {
		const field = this.CONSUME(word);
		const {value, token} = this.SUBRULE(this.value);
		this.ACTION(() => this.uses.push({field, value, valueToken: token}));
		return {name: field.image, value};
	});

	constructor() {
		super([...allTokens]);
	}

	/** Fields and properties in the parsed statement, in order of appearance. */
	get fieldUses(): readonly FieldUse[] {
		return this.uses;
	}

	/** Sets the tokens of the statement to parse next. */
	load(tokens: readonly IToken[]): void {
		this.uses = [];
		this.input = [...tokens];
	}

	private located(token: IToken, read: (token: IToken) => Value): LocatedValue {
		return {token, value: this.ACTION(() => read(token))};
	}
}

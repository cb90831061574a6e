/** Grammar of complete statements, for the chevrotain parser library. */
/* eslint new-cap: "off" -- The parser library's methods have upper-case names. */
import {memberOf, objectKinds, tokenHolders} from './names.js';
import {QueryParser} from './query-parser.js';
import {
	holderWord, integer, kindWord, kindWords, words,
} from './tokens.js';
import {type Command, type Statement} from './types.js';

/** Parses a list of tokens as one statement. */
export class StatementParser extends QueryParser {
	readonly statement = this.RULE('statement', (): Statement => this.OR<Statement>([
		{ALT: () => this.SUBRULE(this.query)},
		{ALT: () => this.SUBRULE(this.createCommand)},
		{ALT: () => this.SUBRULE(this.changeCommand)},
		{ALT: () => this.SUBRULE(this.removeCommand)},
		{ALT: () => this.SUBRULE(this.addTokenCommand)},
		{ALT: () => this.SUBRULE(this.stateCommand)},
		{ALT: () => this.SUBRULE(this.revertCommand)},
	]));

	private readonly createCommand = this.RULE('createCommand', (): Command => {
		this.CONSUME(words.create);
		const kind = this.CONSUME(kindWord);
		const name = this.SUBRULE(this.name);
		const properties = this.OPTION(() => this.SUBRULE(this.properties)) ?? [];
		return {
			kind: 'create', object: memberOf(objectKinds, kind.image), name, properties,
		};
	});

	private readonly changeCommand = this.RULE('changeCommand', (): Command => {
		this.CONSUME(words.change);
		return this.OR<Command>([
			{ALT: () => this.SUBRULE(this.changeSharing)},
			{ALT: () => this.SUBRULE(this.changeObject)},
		]);
	});

	private readonly changeSharing = this.RULE('changeSharing', (): Command => {
		this.CONSUME(words.sharing);
		this.CONSUME(words.set);
		return {kind: 'change_sharing', properties: this.SUBRULE(this.properties)};
	});

	private readonly changeObject = this.RULE('changeObject', (): Command => {
		const object = this.OR([
			{
				ALT: () => {
					this.CONSUME(words.contract);
					return 'contract' as const;
				},
			},
			{ALT: () => memberOf(objectKinds, this.CONSUME(kindWord).image)},
		]);
		const name = this.SUBRULE(this.name);
		this.CONSUME(words.set);
		return {
			kind: 'change', object, name, properties: this.SUBRULE(this.properties),
		};
	});

	private readonly removeCommand = this.RULE('removeCommand', (): Command => {
		this.CONSUME(words.remove);
		return this.OR<Command>([
			{
				ALT: () => {
					this.CONSUME(words.token);
					const hash = this.SUBRULE(this.name);
					this.CONSUME(words.from);
					return {kind: 'remove_token', hash, ...this.SUBRULE(this.holder)};
				},
			},
			{
				ALT: () => {
					const kind = this.CONSUME(kindWord);
					return {kind: 'remove', object: memberOf(objectKinds, kind.image), name: this.SUBRULE1(this.name)};
				},
			},
		]);
	});

	private readonly addTokenCommand = this.RULE('addTokenCommand', (): Command => {
		this.CONSUME(words.add);
		this.CONSUME(words.token);
		const hash = this.SUBRULE(this.name);
		this.CONSUME(words.to);
		return {kind: 'add_token', hash, ...this.SUBRULE(this.holder)};
	});

	private readonly holder = this.RULE('holder', () => {
		const kind = this.CONSUME(holderWord);
		return {object: memberOf(tokenHolders, kind.image), name: this.SUBRULE(this.name)};
	});

	private readonly stateCommand = this.RULE('stateCommand', (): Command => this.OR<Command>([
		{
			ALT: () => {
				this.CONSUME(words.take);
				this.CONSUME(kindWords.data_centre);
				const name = this.SUBRULE(this.name);
				this.CONSUME(words.out);
				return {kind: 'take_out', name};
			},
		},
		{
			ALT: () => {
				this.CONSUME(words.bring);
				this.CONSUME1(kindWords.data_centre);
				const name = this.SUBRULE1(this.name);
				this.CONSUME(words.back);
				return {kind: 'bring_back', name};
			},
		},
		{
			ALT: () => {
				this.CONSUME(words.drain);
				this.CONSUME(kindWords.target);
				return {kind: 'drain', name: this.SUBRULE2(this.name)};
			},
		},
		{
			ALT: () => {
				this.CONSUME(words.undrain);
				this.CONSUME1(kindWords.target);
				return {kind: 'undrain', name: this.SUBRULE3(this.name)};
			},
		},
	]));

	private readonly revertCommand = this.RULE('revertCommand', (): Command => {
		this.CONSUME(words.revert);
		this.CONSUME(words.to);
		this.CONSUME(words.version);
		const version = this.CONSUME(integer);
		return {kind: 'revert', version: Number(version.image)};
	});

	constructor() {
		super();
		this.performSelfAnalysis();
	}
}

/**
 * Tokens of the operators' language. A keyword may also be used as a name or field,
 * unless it is reserved.
 */
/* eslint require-unicode-regexp: "off" -- The lexer library cannot analyse patterns with flag v. */
import {createToken, Lexer, type TokenType} from 'chevrotain';
import {objectKinds, tableNames} from './names.js';

/** Matches where no further character of a word follows, so that `1a` is a word and not a number. */
const numberEnd = String.raw`(?![\w.\-:@])`;

export const word = createToken({name: 'Word', pattern: /\w[\w.\-:@]*/i, label: 'a name'});
export const number = createToken({name: 'Number', pattern: new RegExp(String.raw`-?\d+(?:\.\d+)?(?:e[+\-]?\d+)?${numberEnd}`, 'i'), label: 'a number'});
export const integer = createToken({
	name: 'Integer', pattern: new RegExp(String.raw`\d{1,9}${numberEnd}`), label: 'a whole number', categories: [number],
});
export const text = createToken({name: 'Text', pattern: /"(?:[ !#-[\]-\uFFFF]|\\(?:["\\/bfnrt]|u[\da-f]{4}))*"/i, label: 'a quoted text'});
export const comma = createToken({name: 'Comma', pattern: ',', label: '","'});
export const openParenthesis = createToken({name: 'Open', pattern: '(', label: '"("'});
export const closeParenthesis = createToken({name: 'Close', pattern: ')', label: '")"'});
export const comparison = createToken({name: 'Comparison', pattern: /!=|<=|>=|=|<|>/, label: 'a comparison (= != < <= > >=)'});
const whitespace = createToken({name: 'Space', pattern: /\s+/, group: Lexer.SKIPPED});

/** Category of the keywords that name a table. The lexer never matches the category itself. */
export const tableWord = createToken({name: 'TableWord', pattern: Lexer.NA, label: `a table (${tableNames.join(' ')})`});
/** Category of the keywords that name a kind of object. */
export const kindWord = createToken({name: 'KindWord', pattern: Lexer.NA, label: `a kind of object (${objectKinds.join(' ')})`});
/** Category of the keywords for the kinds of object that have bearer tokens. */
export const holderWord = createToken({name: 'HolderWord', pattern: Lexer.NA, label: 'team or operator'});

const keyword = (image: string, ...categories: readonly TokenType[]): TokenType =>
	createToken({
		name: image.toUpperCase(), pattern: image, label: image, longer_alt: word, categories: [word, ...categories],
	});

/** Creates a keyword that is a name only when quoted, and never a field. */
const reservedKeyword = (image: string): TokenType =>
	createToken({
		name: image.toUpperCase(), pattern: image, label: image, longer_alt: word,
	});

export const reservedWords = {
	and: reservedKeyword('and'),
	or: reservedKeyword('or'),
	not: reservedKeyword('not'),
	true: reservedKeyword('true'),
	false: reservedKeyword('false'),
	none: reservedKeyword('none'),
	contains: reservedKeyword('contains'),
};

const tableWords = tableNames.map(name => keyword(name, tableWord));

export const kindWords = {
	team: keyword('team', kindWord, holderWord),
	service: keyword('service', kindWord),
	data_centre: keyword('data_centre', kindWord),
	target: keyword('target', kindWord),
	operator: keyword('operator', kindWord, holderWord),
};

export const words = {
	where: keyword('where'),
	sort: keyword('sort'),
	by: keyword('by'),
	asc: keyword('asc'),
	desc: keyword('desc'),
	limit: keyword('limit'),
	show: keyword('show'),
	create: keyword('create'),
	change: keyword('change'),
	remove: keyword('remove'),
	set: keyword('set'),
	contract: keyword('contract'),
	sharing: keyword('sharing'),
	take: keyword('take'),
	out: keyword('out'),
	bring: keyword('bring'),
	back: keyword('back'),
	drain: keyword('drain'),
	undrain: keyword('undrain'),
	add: keyword('add'),
	token: keyword('token'),
	to: keyword('to'),
	from: keyword('from'),
	revert: keyword('revert'),
	version: keyword('version'),
};

/** All tokens, in the order in which the lexer tries them. */
export const allTokens: readonly TokenType[] = [
	whitespace,
	...Object.values(reservedWords),
	tableWord,
	kindWord,
	holderWord,
	...tableWords,
	...Object.values(kindWords),
	...Object.values(words),
	text,
	integer,
	number,
	word,
	comma,
	openParenthesis,
	closeParenthesis,
	comparison,
];

export const lexer = new Lexer([...allTokens], {ensureOptimizations: false, positionTracking: 'onlyOffset'});

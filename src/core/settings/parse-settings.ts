/** Parses the settings in a TOML file and reports all of its faults at once. */
import {parse, TomlError} from 'smol-toml';
import type * as z from 'zod';
import * as data from './faults-data.js';
import {keyLine} from './key-line.js';
import {nearest} from './nearest.js';
import {ruleViolations} from './rules.js';
import {checkSettings} from './schema.js';
import {allowedText, nodeAt} from './schema-node.js';
import {valueAt} from './value-at.js';
import {type ParsedSettings, type SettingsFault} from './types.js';

type Issue = z.core.$ZodIssue;
type Path = readonly PropertyKey[];
type Source = {readonly text: string; readonly file: string; readonly document: unknown};

const dotted = (path: Path): string => path.map(String).join('.');

const unknownKey = (source: Source, table: Path, key: string): SettingsFault => {
	const path = [...table, key];
	const known = Object.keys(nodeAt(table)?.properties ?? {});
	const suggestion = nearest(key, known);
	return {
		data: data.SettingsUnknownKey,
		file: source.file,
		line: keyLine(source.text, path),
		key: dotted(path),
		value: JSON.stringify(valueAt(source.document, path)),
		allowed: known.join(', '),
		hint: suggestion === undefined ? data.SettingsUnknownKey.hint : `Did you mean ${suggestion}?`,
	};
};

const valueFault = (source: Source, path: Path, allowed: string): SettingsFault => {
	const value = valueAt(source.document, path);
	const example = nodeAt(path)?.example;
	const kind = value === undefined ? data.SettingsMissingKey : data.SettingsInvalidValue;
	return {
		data: kind,
		file: source.file,
		line: keyLine(source.text, path),
		key: dotted(path),
		...(value !== undefined && {value: JSON.stringify(value)}),
		allowed,
		hint: example === undefined ? kind.hint : `${kind.hint} For example: "${example}".`,
	};
};

const allowedAt = ({path, message}: Issue): string => {
	const node = nodeAt(path);
	return node === undefined ? message : allowedText(node);
};

const faultsOfIssue = (source: Source, issue: Issue): readonly SettingsFault[] => issue.code === 'unrecognized_keys'
	? issue.keys.map(key => unknownKey(source, issue.path, key))
	: [valueFault(source, issue.path, allowedAt(issue))];

const isSameFault = (left: SettingsFault, right: SettingsFault): boolean => left.key === right.key && left.allowed === right.allowed;

const syntaxFault = (err: TomlError, file: string): SettingsFault => ({
	data: data.SettingsSyntax,
	file,
	line: err.line,
	column: err.column,
	key: '',
	allowed: (err.message.split('\n')[0] ?? '').replace('Invalid TOML document: ', ''),
	hint: data.SettingsSyntax.hint,
});

/**
 * Parses the text of a settings file. Never throws on invalid text.
 *
 * @param file - Name of the file, for the positions of faults.
 */
export const parseSettings = (text: string, file: string): ParsedSettings => {
	let document: unknown;
	try {
		document = parse(text);
	} catch (error) {
		if (error instanceof TomlError) {
			return {faults: [syntaxFault(error, file)]};
		}

		throw error;
	}

	const source = {text, file, document};
	const checked = checkSettings(document);
	const violations = ruleViolations(document).map(({path, allowed}) => valueFault(source, path, allowed));
	if (checked.success && violations.length === 0) {
		return {settings: checked.data};
	}

	const issues = checked.error?.issues ?? [];
	const faults = [...issues.flatMap(issue => faultsOfIssue(source, issue)), ...violations]
		.filter((fault, index, all) => all.findIndex(other => isSameFault(fault, other)) === index);
	return {faults: faults.toSorted((a, b) => a.line - b.line)};
};

/** Generates the reference page of the settings file from its schema. */
import {allowedText, settingsNode, type SchemaNode} from '../../src/core/settings/schema-node.js';

const HEADING = `# Settings

Settings of one VM, in TOML, read by \`jackdawwood-router --settings FILE\`. Unknown keys are
faults; \`jackdawwood check-settings FILE\` prints every fault at once. Durations are
milliseconds, sizes are bytes. This page is generated from the schema.

The line that a fault names is that of the key. A key inside an inline table or a list is
told at the line of the key that holds it, an absent key at the header of its table.
`;

type Section = {
	readonly key: string;
	readonly node: SchemaNode;
};

const isTable = (node: SchemaNode): boolean => node.properties !== undefined;

/** Lists a table of the settings and the tables nested in it. */
const tablesIn = ({key, node}: Section): readonly Section[] => {
	const children = Object.entries(node.properties ?? {}).map(([name, child]) => ({key: `${key}.${name}`, node: child}));
	return [{key, node}, ...children.filter(child => isTable(child.node)).flatMap(child => tablesIn(child))];
};

const defaultText = (node: SchemaNode, required: boolean): string => {
	if (required) {
		return 'required';
	}

	return node.default === undefined ? 'none' : `\`${JSON.stringify(node.default)}\``;
};

const row = (cells: readonly string[]): string => `| ${cells.map(cell => cell.replaceAll('|', String.raw`\|`)).join(' | ')} |`;

const keyRows = (node: SchemaNode): readonly string[] => Object.entries(node.properties ?? {})
	.filter(([, child]) => !isTable(child))
	.map(([name, child]) => row([
		`\`${name}\``, defaultText(child, node.required?.includes(name) ?? false), allowedText(child), child.description ?? '',
	]));

const keyTable = (node: SchemaNode): string => [row(['Key', 'Default', 'Allowed', 'Meaning']), row(['---', '---', '---', '---']), ...keyRows(node)].join('\n');

const listItems = ({key, node}: Section): readonly string[] => Object.entries(node.properties ?? {})
	.flatMap(([name, {items}]) => items?.properties ? [`Each entry, as \`[[${key}.${name}]]\`:\n\n${keyTable(items)}\n`] : []);

const sectionText = (section: Section): string => [
	`## [${section.key}]\n\n${section.node.description ?? ''}\n`,
	...(keyRows(section.node).length > 0 ? [`${keyTable(section.node)}\n`] : []),
	...listItems(section),
].join('\n');

/** Returns the page as Markdown. */
export const settingsPage = (): string => {
	const sections = Object.entries(settingsNode.properties ?? {}).flatMap(([key, node]) => tablesIn({key, node}));
	return [HEADING, ...sections.map(section => sectionText(section))].join('\n');
};

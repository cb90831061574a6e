/** Generates the reference page of the operators' language from its tables and properties. */
import {properties} from '../../src/core/language/object-kinds.js';
import {tables} from '../../src/core/language/tables.js';

const HEADING = `# The operators' language

Statements for \`jackdawwood query\`, \`jackdawwood do\` and \`jackdawwood prompt\`, one a line,
at most 2000 characters. A fault names its column, counted from 1, and what was expected
there. This page is generated from the language's tables and properties.

## Queries

    TABLE [where CONDITION] [sort by FIELD [desc], ...] [limit N] [show FIELD, ...]

The parts come in this order. Rows are filtered, sorted, cut to N and projected.

- CONDITION: comparisons joined by \`and\`, \`or\`, \`not\` and parentheses; \`and\` binds closer
  than \`or\`. At most 50 parentheses and negations.
- A comparison is \`FIELD OPERATOR VALUE\` with \`=\`, \`!=\`, \`<\`, \`<=\`, \`>\`, \`>=\`, or \`contains\`
  between texts. A flag may stand alone: \`where backlogged\`.
- VALUE: a number, \`true\`, \`false\`, \`none\` for an absent value, or a text. A text needs
  quotes unless it consists of letters, digits and \`_ . - : @\`; inside quotes the escapes
  of JSON hold. \`and or not true false none contains\` need quotes to be texts.
- Rows without a value sort last in either direction, and no \`<\` or \`>\` holds for them.

Every VM that can be reached contributes. The answer names each VM that is missing, and
the client then exits with 5.

    jackdawwood query 'teams where backlogged sort by behind desc show name, behind'
    jackdawwood query 'targets where cold'
    jackdawwood query 'leases show service, data_centre, holder'
    jackdawwood query 'vms sort by config_version show id, config_version'
`;

const COMMANDS = `## Commands

Each writes one new version of the fleet configuration, or nothing.

    create KIND NAME [PROPERTY VALUE ...]
    change KIND NAME set PROPERTY VALUE ...
    change contract TARGET set PROPERTY VALUE ...
    change sharing set PROPERTY VALUE ...
    remove KIND NAME
    take data_centre NAME out
    bring data_centre NAME back
    drain target NAME
    undrain target NAME
    add token HASH to team|operator NAME
    remove token HASH from team|operator NAME
    revert to version N

KIND is \`team\`, \`service\`, \`data_centre\`, \`target\` or \`operator\`. Pairs of property and
value may be separated by commas. The value \`none\` brings back the default. HASH is what
\`jackdawwood hash-token\` prints. A service or data centre that targets refer to cannot be
removed. \`revert\` writes the earlier version's content under a new number.

A command is made against the version in force at the router that is asked. When another
operator has written a version since, it is refused with \`ConfigConflict\`, which shows the
other's change. A command repeated with its operation id is written once.
`;

const tableRow = (texts: readonly string[]): string => `| ${texts.join(' | ')} |`;

const tableText = ([name, {description, columns}]: readonly [string, typeof tables[keyof typeof tables]]): string => [
	`### ${name}\n\n${description}\n`,
	tableRow(['Field', 'Type', 'Meaning']),
	tableRow(['---', '---', '---']),
	...columns.map(column => tableRow([`\`${column.name}\``, column.type, column.description])),
	'',
].join('\n');

const propertyLine = ([kind, propertiesByName]: readonly [string, ReadonlyMap<string, unknown>]): string => {
	const names = [...propertiesByName.keys()].map(name => `\`${name}\``).join(', ');
	return `- ${kind}: ${names === '' ? 'none' : names}`;
};

/** Returns the page as Markdown. */
export const languagePage = (): string => [
	HEADING,
	COMMANDS,
	'### Properties\n',
	...Object.entries(properties).map(entry => propertyLine(entry)),
	'\n## Tables\n',
	...Object.entries(tables).map(entry => tableText(entry)),
].join('\n');

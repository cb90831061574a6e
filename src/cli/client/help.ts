/** Help texts of `jackdawwood` and its commands. */
import {exitCodesHelp} from '../exit-codes.js';
import {
	DEFAULT_ROUTER, DEFAULT_TIMEOUT_MS, ROUTER_VARIABLE, TOKEN_VARIABLE,
} from './access.js';

export const commandNames = ['check-settings', 'query', 'do', 'prompt', 'explain', 'hash-token'] as const;

export type CommandName = typeof commandNames[number];

const routerOptions = `  --router IP:PORT   admin address of any router (else $${ROUTER_VARIABLE}, else ${DEFAULT_ROUTER})
  --token-file FILE  file with the operator's token (else $${TOKEN_VARIABLE})
  --timeout-ms N     time to wait for an answer (default ${DEFAULT_TIMEOUT_MS})
  --json             print JSON, for scripts`;

export const clientHelp = `
Usage
  $ jackdawwood COMMAND [OPTIONS]

Commands
  check-settings FILE  print every fault of a settings file
  query [STATEMENT]    ask what the fleet is doing
  do [STATEMENT]       change the fleet configuration
  prompt               type queries and commands line by line
  explain ID           tell from log lines what became of a request
  hash-token           print the hash of a token read from the standard input

Options
  --help     this text, or that of a command
  --version  the version

${exitCodesHelp}
`;

export const commandHelp: Readonly<Record<CommandName, string>> = {
	explain: `
Usage
  $ cat LOGS | jackdawwood explain ID

Prints the lines that bear on the request, oldest first, and the one that decided. The
lines of several routers may come in any order.

Options
  --json  print JSON, for scripts
`,
	'check-settings': `
Usage
  $ jackdawwood check-settings FILE

Prints every fault of a settings file with its line, what is allowed and a hint.

Options
  --json  print JSON, for scripts
`,
	query: `
Usage
  $ jackdawwood query [STATEMENT]

Without a statement, reads one a line from the standard input.

Examples
  $ jackdawwood query 'teams where backlogged sort by behind desc show name, behind'
  $ jackdawwood query 'targets where cold'
  $ jackdawwood query leases

Options
${routerOptions}
`,
	do: `
Usage
  $ jackdawwood do [STATEMENT]

Without a statement, reads one a line from the standard input and stops at the first
that fails.

Examples
  $ jackdawwood do --dry-run change team couriers set weight 3
  $ jackdawwood do take data_centre colombo out
  $ jackdawwood do revert to version 12

Options
${routerOptions}
  --dry-run          print the difference that the command would write
  --operation-id ID  name of the command; a repeat with the same name is written once
`,
	prompt: `
Usage
  $ jackdawwood prompt

Options
${routerOptions}
  --dry-run          print the differences that commands would write
`,
	'hash-token': `
Usage
  $ jackdawwood hash-token < TOKEN_FILE

Options
  --json  print JSON, for scripts
`,
};

import {exitCodesHelp} from '../exit-codes.js';

/** Help text of `jackdawwood-router`. */
export const routerHelp = `
Usage
  $ jackdawwood-router --settings FILE

Runs the router of one VM until SIGTERM or SIGINT, then finishes its requests and exits.
Later signals have no effect, and SIGHUP never has; SIGKILL ends it at once.

Options
  --settings FILE  settings of this VM, TOML
  --help           this text
  --version        the version

${exitCodesHelp}
`;

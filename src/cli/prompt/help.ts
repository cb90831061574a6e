import {tableNames} from '../../core/language/names.js';

/** Text shown at the start of the prompt and by `help`. */
export const promptHelp = `Queries:  TABLE where CONDITION sort by FIELD desc limit N show FIELDS
Tables:   ${tableNames.join(' ')}
Commands: create change remove take bring drain undrain add revert
Others:   help exit
`;

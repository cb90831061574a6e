/** Exit codes of both programs. */

/** The command succeeded. */
export const EXIT_OK = 0;
/** The statement has a fault, the command conflicts with another or cannot be applied, or the router refused it for another reason. */
export const EXIT_REFUSED = 1;
/** The command line is not valid. */
export const EXIT_USAGE = 2;
/** The settings file cannot be read or has faults. */
export const EXIT_SETTINGS = 3;
/** The router is unreachable, did not respond in time, or sent an unknown response. */
export const EXIT_UNREACHABLE = 4;
/** The response lacks the rows of some VMs. */
export const EXIT_PARTIAL = 5;
/** The operator's token is missing or unknown. */
export const EXIT_UNAUTHENTICATED = 6;
/** An internal error of the program. */
export const EXIT_INTERNAL = 70;

/** Section of the help texts that lists the exit codes. */
export const exitCodesHelp = `Exit codes
  ${EXIT_OK}   done as asked
  ${EXIT_REFUSED}   refused: a fault in the statement, a conflict, a command that cannot be applied
  ${EXIT_USAGE}   wrong use of the command line
  ${EXIT_SETTINGS}   the settings file cannot be read or has faults
  ${EXIT_UNREACHABLE}   the router cannot be reached, or did not answer in time
  ${EXIT_PARTIAL}   the answer lacks a part of the fleet
  ${EXIT_UNAUTHENTICATED}   the operator's token is missing or unknown
  ${EXIT_INTERNAL}  a failure inside the program`;

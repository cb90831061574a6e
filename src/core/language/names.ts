/** Keywords of the operators' language that are also values in its syntax tree. */

export const tableNames = ['teams', 'services', 'data_centres', 'targets', 'vms', 'leases', 'requests', 'refusals', 'config_history'] as const;

export const objectKinds = ['team', 'service', 'data_centre', 'target', 'operator'] as const;

export const tokenHolders = ['team', 'operator'] as const;

export const operators = ['=', '!=', '<', '<=', '>', '>=', 'contains'] as const;

/** Returns the member of a list that equals a token's text; the first member when none does. */
export const memberOf = <Member extends string>(members: readonly [Member, ...Member[]], image: string): Member =>
	members.find(member => member === image) ?? members[0];

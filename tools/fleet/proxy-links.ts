import * as z from 'zod';

const linksSchema = z.object({links: z.array(z.object({name: z.string(), address: z.string()}))});

/** Parses a response of the fault proxy's control interface; returns the listen addresses by link name. */
export const parseProxyLinks = (response: unknown): ReadonlyMap<string, string> =>
	new Map(linksSchema.parse(response).links.map(({name, address}) => [name, address]));

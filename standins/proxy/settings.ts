import * as z from 'zod';

const linkSchema = z.strictObject({
	/** Name of the link in `/control`. */
	name: z.string().min(1),
	port: z.number().int().min(0).max(65_535).default(0),
	/** `IP:PORT` to which connections are forwarded. */
	upstream: z.string().regex(/^[\d.]+:\d+$/v),
});

export type LinkSettings = Readonly<z.output<typeof linkSchema>>;

/** Settings of the fault proxy. */
export const proxySettingsSchema = z.strictObject({
	/** Port of the administration interface. */
	adminPort: z.number().int().min(0).max(65_535).default(0),
	links: z.array(linkSchema).default([]),
});

export type ProxySettings = Readonly<z.output<typeof proxySettingsSchema>>;

const faultsSchema = z.object({
	/** Whether all connections and each new one are reset. */
	cut: z.boolean().default(false),
	/** Delay in each direction, in milliseconds. */
	delayMs: z.number().nonnegative().default(0),
	/** Whether connections are accepted but nothing is forwarded in either direction. */
	freeze: z.boolean().default(false),
	/** Direction in which nothing is forwarded. */
	oneWayCut: z.enum(['none', 'to_upstream', 'from_upstream']).default('none'),
	/** Number of forwarded bytes after which a connection is reset; 0 for never. */
	dropAfterBytes: z.number().int().nonnegative().default(0),
});

/** Faults of one link; none by default. */
export type LinkFaults = Readonly<z.output<typeof faultsSchema>>;

/** A link without faults. */
export const noFaults: LinkFaults = faultsSchema.parse({});

/** Body of `POST /control`. Replaces the faults of the named links, or of all links if no names are given; `add` opens new links. */
export const proxyControlSchema = z.strictObject({
	names: z.array(z.string()).optional(),
	faults: faultsSchema.optional(),
	/** New upstream for further connections of the named links. */
	upstream: linkSchema.shape.upstream.optional(),
	add: z.array(linkSchema).default([]),
	remove: z.array(z.string()).default([]),
});

export type ProxyControl = Readonly<z.output<typeof proxyControlSchema>>;

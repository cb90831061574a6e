import {type IncomingMessage, type ServerResponse} from 'node:http';

/** A request with the parts of its URL, as parsed by Polka. */
export type HttpRequest = IncomingMessage & {
	readonly params: Readonly<Record<string, string>>;
	readonly query: Readonly<Record<string, string | string[]>>;
	readonly path: string;
};

export type Handler = (req: HttpRequest, res: ServerResponse) => Promise<void> | void;

/** Method, path pattern and handler of an endpoint. */
export type Route = readonly [method: 'GET' | 'POST' | 'PUT' | 'DELETE', pattern: string, handler: Handler];

/** A running stand-in. It listens until it is closed. */
export type Standin = {
	/** `127.0.0.1:PORT`. */
	readonly address: string;
	readonly close: () => Promise<void>;
	/** Further addresses to print, such as those of the proxy's links. */
	readonly details?: Readonly<Record<string, string | readonly string[]>>;
};

/** Trial stand-in until the tracing package lands. */
export interface Span { readonly traceparent: string, readonly end: (status: 'ok' | 'error') => void }
export interface Tracing { readonly startSpan: (name: string, parent: string, attributes: Record<string, string>) => Span, readonly close: () => Promise<void> }
export async function createTracing (_settings: { readonly serviceName: string, readonly exporterUrl: string | null }): Promise<Tracing> {
  return { startSpan: (_name, parent) => ({ traceparent: parent, end: () => undefined }), close: async () => undefined }
}
